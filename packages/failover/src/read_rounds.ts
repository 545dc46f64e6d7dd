/**
 * Rounds of status questions. Each is shared by all reads that wait when it
 * starts, and several may be on their way at a time.
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
  receiveAtMost,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {MemberLink} from './member_link';
import {RoundResult, evaluateRound} from './round_result';
import type {FailoverTimings} from './timings';

/** Starts rounds and hands out their results. */
export interface ReadRounds {
  /** A barrier of a round that starts after this call. */
  barrier(deadline: Milliseconds): Future<LogPosition | undefined>;
  /** Starts a round although no read waits. */
  refresh(): void;
  /** Monotonic time of the questions of the last round that succeeded. */
  lastSuccessAskedAt(): Milliseconds;
  /** Starts no more rounds; who waits gets `undefined` at its deadline. */
  close(): void;
}

/** What rounds are made of. */
export interface ReadRoundsOptions {
  readonly runtime: Runtime;
  readonly timings: FailoverTimings;
  links(): readonly MemberLink[];
  groupSize(): number;
  /** Called for each round that succeeded. */
  onSuccess(result: RoundResult, askedAt: Milliseconds): void;
}

interface Waiter {
  readonly deferred: Deferred<LogPosition | undefined>;
  readonly cancelDeadline: Unsubscribe;
}

type Answer = Result<TargetStatus, RequestFailure>;

/** Creates the rounds of a group; none runs until one is wanted. */
export function createReadRounds(options: ReadRoundsOptions): ReadRounds {
  const {runtime, timings} = options;
  const {timer} = runtime;
  let waiting = new Set<Waiter>();
  let cancelStart: Unsubscribe | undefined;
  let lastStart = -Infinity;
  let lastSuccessAskedAt = -Infinity;

  function barrier(deadline: Milliseconds): Future<LogPosition | undefined> {
    const deferred = createDeferred<LogPosition | undefined>();
    const cancelDeadline = timer.after(deadline - timer.now(), () => {
      waiting.delete(waiter);
      deferred.settle(undefined);
    });
    const waiter: Waiter = {deferred, cancelDeadline};
    waiting.add(waiter);
    schedule(lastStart + timings.roundSpacing - timer.now());
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
    const askedAt = timer.now();
    const result = yield* askAll(askedAt + timings.requestTimeout);
    if (result === undefined) {
      waitOn(waiters);
      return;
    }
    lastSuccessAskedAt = Math.max(lastSuccessAskedAt, askedAt);
    options.onSuccess(result, askedAt);
    for (const {deferred, cancelDeadline} of waiters) {
      cancelDeadline();
      deferred.settle(result.end);
    }
  }

  function* askAll(deadline: Milliseconds): Task<RoundResult | undefined> {
    const answers: TargetStatus[] = [];
    const mailbox = createMailbox<Answer>();
    const links = options.links();
    for (const link of links) {
      link
        .ask(timings.requestTimeout)
        .onSettled(answer => mailbox.post(answer));
    }
    for (let open = links.length; open > 0; open--) {
      const answer = yield* receiveAtMost(mailbox, deadline - timer.now());
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

  /** Those whose round failed join the next one, if they still wait. */
  function waitOn(waiters: ReadonlySet<Waiter>): void {
    const left = [...waiters].filter(
      waiter => !waiter.deferred.future.isSettled(),
    );
    left.forEach(waiter => waiting.add(waiter));
    if (left.length > 0) {
      schedule(timings.roundRetry);
    }
  }

  return {
    barrier,
    refresh: () => schedule(lastStart + timings.roundSpacing - timer.now()),
    lastSuccessAskedAt: () => lastSuccessAskedAt,
    close() {
      cancelStart?.();
      cancelStart = undefined;
    },
  };
}
