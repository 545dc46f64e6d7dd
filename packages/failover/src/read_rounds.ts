/**
 * Runs rounds of status probes. A round serves all reads that are waiting when
 * it starts. Rounds may overlap.
 */
import type {LogPosition, TargetStatus} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {
  Deferred,
  Future,
  Milliseconds,
  Runtime,
  Task,
  Unsubscribe,
  createDeferred,
  createMailbox,
  receiveWithTimeout,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {MemberLink} from './member_link';
import {RoundResult, evaluateRound} from './round_result';
import type {FailoverTimings} from './timings';

/** Starts rounds and settles the waiting reads with their results. */
export interface ReadRounds {
  /**
   * Settles with the end of the primary's log found by a round that starts
   * after this call, or with `undefined` at the monotonic deadline.
   */
  barrier(deadline: Milliseconds): Future<LogPosition | undefined>;
  /** Starts a round even if no read is waiting. */
  refresh(): void;
  /** Monotonic time of the probes of the last successful round. */
  lastSuccessProbedAt(): Milliseconds;
  /** Cancels a scheduled round; waiting reads end at their deadlines. */
  close(): void;
}

export interface ReadRoundsOptions {
  readonly runtime: Runtime;
  readonly timings: FailoverTimings;
  links(): readonly MemberLink[];
  groupSize(): number;
  /** Called for each successful round. */
  onSuccess(result: RoundResult, probedAt: Milliseconds): void;
}

interface Waiter {
  readonly deferred: Deferred<LogPosition | undefined>;
  readonly cancelDeadline: Unsubscribe;
}

type Answer = Result<TargetStatus, RequestFailure>;

/** No round starts until one is requested. */
export function createReadRounds(options: ReadRoundsOptions): ReadRounds {
  const {runtime, timings} = options;
  const {timer} = runtime;
  let waiting = new Set<Waiter>();
  let cancelStart: Unsubscribe | undefined;
  let lastStart = -Infinity;
  let lastSuccessProbedAt = -Infinity;

  function barrier(deadline: Milliseconds): Future<LogPosition | undefined> {
    const deferred = createDeferred<LogPosition | undefined>();
    const cancelDeadline = timer.after(deadline - timer.now(), () => {
      waiting.delete(waiter);
      deferred.settle(undefined);
    });
    const waiter: Waiter = {deferred, cancelDeadline};
    waiting.add(waiter);
    schedule(lastStart + timings.minimumRoundInterval - timer.now());
    return deferred.future;
  }

  function schedule(pause: Milliseconds): void {
    if (cancelStart !== undefined) {
      return;
    }
    if (pause <= 0) {
      start();
      return;
    }
    cancelStart = timer.after(pause, () => {
      cancelStart = undefined;
      start();
    });
  }

  function start(): void {
    lastStart = timer.now();
    const waiters = waiting;
    waiting = new Set();
    runtime.spawn('read round', runRound(waiters));
  }

  function* runRound(waiters: ReadonlySet<Waiter>): Task<void> {
    const probedAt = timer.now();
    const result = yield* probeAll(probedAt + timings.requestTimeout);
    if (result === undefined) {
      requeue(waiters);
      return;
    }
    lastSuccessProbedAt = Math.max(lastSuccessProbedAt, probedAt);
    options.onSuccess(result, probedAt);
    for (const {deferred, cancelDeadline} of waiters) {
      cancelDeadline();
      deferred.settle(result.end);
    }
  }

  function* probeAll(deadline: Milliseconds): Task<RoundResult | undefined> {
    const answers: TargetStatus[] = [];
    const mailbox = createMailbox<Answer>();
    const links = options.links();
    for (const link of links) {
      link
        .probe(timings.requestTimeout)
        .onSettled(answer => mailbox.post(answer));
    }
    for (let remaining = links.length; remaining > 0; remaining--) {
      const answer = yield* receiveWithTimeout(mailbox, deadline - timer.now());
      if (answer === undefined) {
        return undefined;
      }
      if (answer.ok) {
        answers.push(answer.val);
      }
      const result = evaluateRound(answers, options.groupSize());
      if (result !== undefined) {
        return result;
      }
    }
    return undefined;
  }

  /**
   * Adds the reads of a failed round that are still waiting to the next round.
   */
  function requeue(waiters: ReadonlySet<Waiter>): void {
    const pending = [...waiters].filter(
      waiter => !waiter.deferred.future.isSettled(),
    );
    pending.forEach(waiter => waiting.add(waiter));
    if (pending.length > 0) {
      schedule(timings.roundBackoff);
    }
  }

  return {
    barrier,
    refresh: () =>
      schedule(lastStart + timings.minimumRoundInterval - timer.now()),
    lastSuccessProbedAt: () => lastSuccessProbedAt,
    close() {
      cancelStart?.();
      cancelStart = undefined;
    },
  };
}
