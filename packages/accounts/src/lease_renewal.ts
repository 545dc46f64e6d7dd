/** Keeps this proxy's share of all quotas leased to its quota coordinator. */
import type {Method} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {QuotaPeer} from './choose_coordinators';
import type {QuotaCoordinator} from './quota_coordinator';
import {quotaLend} from './quota_messages';
import {LEASE_DURATION_MS, createShareLease} from './share_lease';

export interface LeaseRenewalOptions {
  readonly runtime: Runtime;
  readonly self: QuotaPeer;
  /** This proxy as a coordinator. */
  readonly local: Pick<QuotaCoordinator, 'readClock' | 'addLease'>;
  processId(): string;
  /** The coordinator that this proxy leases its share to. */
  home(): QuotaPeer;
  /** True if any account has a limit; undefined while this is unknown. */
  hasLimits(): boolean | undefined;
  /** Number of proxies that share all quotas; undefined while it is unknown. */
  proxyCount(): number | undefined;
  request<P, R>(
    peer: QuotaPeer,
    method: Method<P, R>,
    parameters: P,
  ): Future<Result<R, unknown>>;
}

/** Interval between renewals: several fit into the duration of a lease. */
const LEASE_RENEWAL_INTERVAL_MS: Milliseconds = 500;
/**
 * Interval between attempts while no lease is granted, because the share can't
 * be used meanwhile.
 */
const LEASE_RETRY_INTERVAL_MS: Milliseconds = 100;
const LEASE_INTERVAL_JITTER_RATIO = 0.2;

/** Renews the lease until cancelled; sends nothing without limits. */
export function* keepRenewingLease(options: LeaseRenewalOptions): Task<void> {
  const {runtime, self, local, processId} = options;
  const {timer, random} = runtime;
  const shareLease = createShareLease();
  let hasGrantedLease = false;

  /**
   * True if the lease was granted. The first request to a coordinator only
   * returns its clock reading.
   */
  function* grantLease(coordinator: QuotaPeer, part: number): Task<boolean> {
    const offer = shareLease.offerTo(coordinator.proxy, timer.now());
    if (offer === undefined) {
      return false;
    }
    const {reading} = offer;
    const message = {
      lender: self.proxy,
      part,
      ...(hasGrantedLease ? {} : {startOf: processId()}),
      ...(reading === undefined ? {} : {reading}),
    };
    const reply = yield* waitFor(
      options.request(coordinator, quotaLend, message),
    );
    if (reply.err) {
      return false;
    }
    shareLease.recordReading(coordinator.proxy, reply.val.reading, timer.now());
    const isGranted = reading?.process === reply.val.reading.process;
    hasGrantedLease ||= isGranted;
    return isGranted;
  }

  function grantLeaseToSelf(part: number): boolean {
    const now = timer.now();
    if (shareLease.offerTo(self.proxy, now) === undefined) {
      return false;
    }
    shareLease.recordReading(self.proxy, local.readClock(), now);
    shareLease.offerTo(self.proxy, now);
    const startOf = hasGrantedLease ? undefined : processId();
    const until = now + LEASE_DURATION_MS;
    local.addLease({lender: self.proxy, part, until, startOf});
    hasGrantedLease = true;
    return true;
  }

  function* renewLease(): Task<boolean> {
    const size = options.proxyCount();
    if (size === undefined) {
      return false;
    }
    const part = 1 / Math.max(1, size);
    const home = options.home();
    return home.proxy === self.proxy
      ? grantLeaseToSelf(part)
      : (yield* grantLease(home, part)) || (yield* grantLease(home, part));
  }

  yield* sleep(LEASE_RETRY_INTERVAL_MS);
  for (;;) {
    const hasLimits = options.hasLimits();
    if (hasLimits) {
      const period = (yield* renewLease())
        ? LEASE_RENEWAL_INTERVAL_MS
        : LEASE_RETRY_INTERVAL_MS;
      yield* sleep(random.jitter(period, LEASE_INTERVAL_JITTER_RATIO));
    } else {
      yield* sleep(
        hasLimits === false
          ? LEASE_RENEWAL_INTERVAL_MS
          : LEASE_RETRY_INTERVAL_MS,
      );
    }
  }
}
