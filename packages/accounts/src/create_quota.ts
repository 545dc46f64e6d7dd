/**
 * Enforces the quotas of client accounts over all proxies together. Each proxy
 * leases its share of all quotas to one quota coordinator, and requests each
 * operation from the coordinators: first from its own, then from the others.
 * The shares add up to the whole quota, also during network partitions.
 */
import type {Method} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createSuspensionDetector,
  settledFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {
  type QuotaCoordinators,
  type QuotaPeer,
  chooseCoordinators,
} from './choose_coordinators';
import type {QuotaLimit} from './account_directory';
import {LEASE_DURATION_MS, createShareLease} from './share_lease';
import {
  type QuotaAnswer,
  type VersionedLimit,
  quotaCharge,
  quotaLend,
  quotaTake,
} from './quota_messages';
import {createQuotaPool} from './quota_pool';

/**
 * What quotas need from the proxy: limits, the list of proxies and requests.
 */
export interface QuotaOptions {
  readonly runtime: Runtime;
  readonly self: QuotaPeer;
  /** The current limit of an account; undefined if the account is unlimited. */
  limitOf(account: string): VersionedLimit | undefined;
  /** True if any account has a limit; undefined while this is unknown. */
  hasLimits(): boolean | undefined;
  /**
   * Operations allowed beyond an account's limit if all proxies start at once.
   */
  startAllowance(limit: QuotaLimit): number;
  /** Proxies that may be coordinators, in the same order on all proxies. */
  candidates(): readonly QuotaPeer[];
  /** Number of proxies that share all quotas; undefined while it is unknown. */
  proxyCount(): number | undefined;
  isUsable(peer: QuotaPeer): boolean;
  /**
   * Sends a request to another proxy; fails if it is unanswered after
   * `timeout`.
   */
  request<P, R>(
    peer: QuotaPeer,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, unknown>>;
}

/**
 * Grants or refuses operations so that all proxies together keep the quotas.
 */
export interface Quota {
  /**
   * Requests one operation of an account, which is counted if granted. An
   * account without a limit is always granted.
   */
  take(account: string): Task<QuotaAnswer>;
  /** Counts further attempts that were made for one granted operation. */
  charge(account: string, count: number): void;
  /** Registers the handlers for requests of other proxies. */
  serve(handlers: HandlerTable): void;
  /** Sum of the shares of all quotas leased to this proxy now, from 0 to 1. */
  leasedShare(): number;
}

/** Interval between renewals: several fit into the duration of a lease. */
const LEASE_RENEWAL_INTERVAL_MS: Milliseconds = 500;
/**
 * Interval between attempts while no lease is granted, because the share can't
 * be used meanwhile.
 */
const LEASE_RETRY_INTERVAL_MS: Milliseconds = 100;
const LEASE_INTERVAL_JITTER_RATIO = 0.2;
/**
 * Timeout of a request: a round trip between regions and the delay of a busy
 * coordinator.
 */
const REQUEST_TIMEOUT_MS: Milliseconds = 150;
/**
 * Retry delay given to a caller if the coordinator doesn't answer: another one
 * is chosen within this time.
 */
const UNANSWERED_RETRY_AFTER_MS: Milliseconds = 300;
/**
 * Longest time until an exhausted coordinator is requested again for an
 * account. Tokens that accrue beyond the burst in the meantime would be lost.
 */
const MAXIMUM_BACKOFF_MS: Milliseconds = 200;
const PROCESS_ID_LENGTH = 12;

/** Backoff of one account at a coordinator that has refused it. */
interface ExhaustedCoordinator {
  /** Monotonic time until which it is not requested again. */
  readonly until: Milliseconds;
  readonly retryAfter: Milliseconds;
}

const GRANTED: QuotaAnswer = {kind: 'granted'};

/**
 * Starts leasing this proxy's share; sends nothing while no account has a
 * limit.
 */
export function createQuota(options: QuotaOptions): Quota {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  let knownProcessId = '';
  const pool = createQuotaPool({startAllowance: options.startAllowance});
  const shareLease = createShareLease();
  const suspension = createSuspensionDetector(timer);
  let hasGrantedLease = false;
  /** Exhausted coordinators by key `coordinator account`. */
  const exhausted = new Map<string, ExhaustedCoordinator>();

  /**
   * Creates the id on first use, so that nothing is drawn at random without
   * limits.
   */
  function processId(): string {
    knownProcessId ||= random.hexadecimal(PROCESS_ID_LENGTH);
    return knownProcessId;
  }

  function coordinators(): QuotaCoordinators {
    return chooseCoordinators({
      self,
      candidates: options.candidates(),
      isUsable: options.isUsable,
    });
  }

  /**
   * Returns the pool; resets it first after a suspension of the process,
   * because leases may have expired meanwhile.
   */
  function checkedPool() {
    if (suspension.wasSuspended()) {
      pool.reset(timer.now());
    }
    return pool;
  }

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
      options.request(coordinator, quotaLend, message, REQUEST_TIMEOUT_MS),
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
    shareLease.recordReading(
      self.proxy,
      {process: processId(), time: now},
      now,
    );
    shareLease.offerTo(self.proxy, now);
    const startOf = hasGrantedLease ? undefined : processId();
    const until = now + LEASE_DURATION_MS;
    const lease = {lender: self.proxy, part, until, startOf};
    checkedPool().addLease(lease, now);
    hasGrantedLease = true;
    return true;
  }

  function* renewLease(): Task<boolean> {
    const size = options.proxyCount();
    if (size === undefined) {
      return false;
    }
    const part = 1 / Math.max(1, size);
    const {home} = coordinators();
    return home.proxy === self.proxy
      ? grantLeaseToSelf(part)
      : (yield* grantLease(home, part)) || (yield* grantLease(home, part));
  }

  function* keepRenewingLease(): Task<void> {
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

  /**
   * The requested limit, or this proxy's own if its configuration is as new or
   * newer.
   */
  function newerLimit(requested: VersionedLimit): VersionedLimit {
    const own = options.limitOf(requested.account);
    return own !== undefined && own.version >= requested.version
      ? own
      : requested;
  }

  function takeLocally(requested: VersionedLimit): QuotaAnswer {
    return checkedPool().take(newerLimit(requested), timer.now());
  }

  function* takeFrom(
    coordinator: QuotaPeer,
    requested: VersionedLimit,
  ): Task<QuotaAnswer> {
    if (coordinator.proxy === self.proxy) {
      return takeLocally(requested);
    }
    const reply = yield* waitFor(
      options.request(coordinator, quotaTake, requested, REQUEST_TIMEOUT_MS),
    );
    return reply.ok
      ? reply.val
      : {kind: 'refused', retryAfter: UNANSWERED_RETRY_AFTER_MS};
  }

  /**
   * Returns the delay increased by a random 0 to 100 %, so that callers refused
   * without a request don't retry together.
   */
  function addJitter(retryAfter: Milliseconds): Milliseconds {
    return retryAfter * (1 + random.fraction());
  }

  /**
   * Requests an operation from one coordinator; refuses it without a request
   * while the coordinator is in backoff for the account.
   */
  function* tryCoordinator(
    coordinator: QuotaPeer,
    requested: VersionedLimit,
  ): Task<QuotaAnswer> {
    const key = `${coordinator.proxy} ${requested.account}`;
    const known = exhausted.get(key);
    if (known !== undefined && timer.now() < known.until) {
      return {kind: 'refused', retryAfter: addJitter(known.retryAfter)};
    }
    const answer = yield* takeFrom(coordinator, requested);
    if (answer.kind === 'refused') {
      const backoff = Math.min(answer.retryAfter, MAXIMUM_BACKOFF_MS);
      exhausted.set(key, {until: timer.now() + backoff, ...answer});
    } else {
      exhausted.delete(key);
    }
    return answer;
  }

  function* take(account: string): Task<QuotaAnswer> {
    const requested = options.limitOf(account);
    if (requested === undefined) {
      return GRANTED;
    }
    const {home, others} = coordinators();
    let retryAfter = Infinity;
    for (const coordinator of [home, ...others]) {
      const answer = yield* tryCoordinator(coordinator, requested);
      if (answer.kind === 'granted') {
        return answer;
      }
      retryAfter = Math.min(retryAfter, answer.retryAfter);
    }
    return {kind: 'refused', retryAfter};
  }

  function chargeLocally(limit: VersionedLimit, count: number): void {
    checkedPool().charge(newerLimit(limit), count, timer.now());
  }

  function charge(account: string, count: number): void {
    const limit = options.limitOf(account);
    if (limit === undefined || count <= 0) {
      return;
    }
    const {home} = coordinators();
    if (home.proxy === self.proxy) {
      chargeLocally(limit, count);
    } else {
      const message = {...limit, count};
      void options.request(home, quotaCharge, message, REQUEST_TIMEOUT_MS);
    }
  }

  runtime.spawn('lend quota', keepRenewingLease());
  return {
    take,
    charge,
    serve(handlers) {
      handlers
        .handle(quotaLend, ({reading, ...lease}) => {
          const now = timer.now();
          if (reading?.process === processId()) {
            const until = reading.time + LEASE_DURATION_MS;
            checkedPool().addLease({...lease, until}, now);
          }
          return settledFuture(
            Ok({reading: {process: processId(), time: now}}),
          );
        })
        .handle(quotaTake, requested =>
          settledFuture(Ok(takeLocally(requested))),
        )
        .handle(quotaCharge, requested => {
          chargeLocally(requested, requested.count);
          return settledFuture(Ok({}));
        });
    },
    leasedShare: () => checkedPool().leasedShare(timer.now()),
  };
}
