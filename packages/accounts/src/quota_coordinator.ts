/**
 * Counts operations against the shares of all quotas that are leased to this
 * proxy, for itself and for other proxies.
 */
import type {HandlerTable} from '@kelpstep/rpc';
import {
  type Milliseconds,
  type TimerService,
  createSuspensionDetector,
  settledFuture,
} from '@kelpstep/runtime';
import {Ok} from 'ts-results';

import type {QuotaLimit} from './account_directory';
import {
  type QuotaAnswer,
  type VersionedLimit,
  quotaCharge,
  quotaLend,
  quotaReturn,
  quotaTake,
} from './quota_messages';
import {type LeasedShare, createQuotaPool} from './quota_pool';
import {type ClockReading, LEASE_DURATION_MS} from './share_lease';

/** Outcome of a request to a coordinator; returned operations did not run. */
export type QuotaOutcome = 'granted' | 'refused' | 'returned';

export interface QuotaCoordinatorOptions {
  readonly timer: TimerService;
  /** Id of this process. */
  processId(): string;
  /** The current limit of an account; undefined if the account is unlimited. */
  limitOf(account: string): VersionedLimit | undefined;
  startAllowance(limit: QuotaLimit): number;
  /** Called for each answer. */
  onAnswer(priority: number, outcome: QuotaOutcome): void;
}

/** When and by which process an operation was granted. */
export interface GrantReading extends ClockReading {
  readonly priority: number;
}

/** This proxy as a quota coordinator. Priority 0 is the highest. */
export interface QuotaCoordinator {
  readClock(): ClockReading;
  addLease(lease: LeasedShare): void;
  take(requested: VersionedLimit, priority: number): QuotaAnswer;
  charge(requested: VersionedLimit, count: number): void;
  /** Returns operations that were granted here but did not run. */
  giveBack(requested: VersionedLimit, count: number, grant: GrantReading): void;
  leasedShare(): number;
  /** Registers the handlers for requests of other proxies. */
  serve(handlers: HandlerTable): void;
}

/** Creates a coordinator without leases, which refuses all operations. */
export function createQuotaCoordinator(
  options: QuotaCoordinatorOptions,
): QuotaCoordinator {
  const {timer, processId} = options;
  const pool = createQuotaPool({startAllowance: options.startAllowance});
  const suspension = createSuspensionDetector(timer);
  let suspensionCount = 0;

  /**
   * Resets the pool after a suspension of the process, because leases may have
   * expired meanwhile.
   */
  function checkSuspension(): void {
    if (suspension.wasSuspended()) {
      suspensionCount += 1;
      pool.reset(timer.now());
    }
  }

  /**
   * The id changes with each suspension, so that readings and grants from
   * before are not accepted.
   */
  function clockId(): string {
    return suspensionCount === 0
      ? processId()
      : `${processId()}.${suspensionCount}`;
  }

  function readClock(): ClockReading {
    checkSuspension();
    return {process: clockId(), time: timer.now()};
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

  function addLease(lease: LeasedShare): void {
    checkSuspension();
    pool.addLease(lease, timer.now());
  }

  function take(requested: VersionedLimit, priority: number): QuotaAnswer {
    const {process, time} = readClock();
    const answer = pool.take(newerLimit(requested), time, priority);
    options.onAnswer(priority, answer.kind);
    return answer.kind === 'granted' ? {...answer, process, time} : answer;
  }

  function charge(requested: VersionedLimit, count: number): void {
    checkSuspension();
    pool.charge(newerLimit(requested), count, timer.now());
  }

  function giveBack(
    requested: VersionedLimit,
    count: number,
    {process, time, priority}: GrantReading,
  ): void {
    const clock = readClock();
    const isAccepted =
      process === clock.process &&
      pool.giveBack(newerLimit(requested), count, time, clock.time);
    if (isAccepted) {
      options.onAnswer(priority, 'returned');
    }
  }

  function lend(lease: Omit<LeasedShare, 'until'>, lent?: ClockReading) {
    const reading = readClock();
    if (lent?.process === reading.process) {
      const until: Milliseconds = lent.time + LEASE_DURATION_MS;
      addLease({...lease, until});
    }
    return settledFuture(Ok({reading}));
  }

  return {
    readClock,
    addLease,
    take,
    charge,
    giveBack,
    leasedShare() {
      checkSuspension();
      return pool.leasedShare(timer.now());
    },
    serve(handlers) {
      handlers
        .handle(quotaLend, ({reading, ...lease}) => lend(lease, reading))
        .handle(quotaTake, ({priority = 0, ...limit}) =>
          settledFuture(Ok(take(limit, priority))),
        )
        .handle(quotaReturn, message => {
          const {priority = 0, count, process, time, ...limit} = message;
          giveBack(limit, count, {process, time, priority});
          return settledFuture(Ok({}));
        })
        .handle(quotaCharge, ({count, ...limit}) => {
          charge(limit, count);
          return settledFuture(Ok({}));
        });
    },
  };
}
