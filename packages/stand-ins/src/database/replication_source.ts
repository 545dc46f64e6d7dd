/** The primary's side of replication: answers replicas that ask for records. */
import {
  Failure,
  LogRecord,
  ParametersOf,
  ResultOf,
  targetReplicate,
} from '@kelpstep/protocol';
import {
  Deferred,
  Future,
  Milliseconds,
  TimerService,
  Unsubscribe,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {MemberState} from './member_state';
import {lastCommonPosition} from './replicated_log';
import type {Store} from './store';

type Replicate = ParametersOf<typeof targetReplicate>;
type Batch = ResultOf<typeof targetReplicate>;

/** Most records of one answer. */
const BATCH_LIMIT = 1000;

/** Answers `target.replicate`. */
export interface ReplicationSource {
  replicate(parameters: Replicate): Future<Result<Batch, Failure>>;
  /** Looks again at the requests that wait, after a change. */
  wake(): void;
}

/** What a source is made of. */
export interface ReplicationSourceOptions {
  readonly timer: TimerService;
  readonly store: Store;
  readonly member: MemberState;
  /** Longest time for which a request is held. */
  readonly heartbeat: () => Milliseconds;
}

interface Waiter {
  readonly term: number;
  /** End of the replica's log, which this log holds too. */
  readonly position: number;
  readonly answer: Deferred<Result<Batch, Failure>>;
  readonly cancelHeartbeat: Unsubscribe;
}

/** Creates a source without requests. */
export function createReplicationSource(
  options: ReplicationSourceOptions,
): ReplicationSource {
  const {timer, store, member, heartbeat} = options;
  const waiters = new Set<Waiter>();

  function batch(keep: number, records: LogRecord[]): Result<Batch, Failure> {
    return Ok({keep, records, primaryEnd: store.end()});
  }

  /** What can be answered now, if anything. */
  function answerNow(
    term: number,
    position: number,
  ): Result<Batch, Failure> | undefined {
    const refusal = member.checkPrimary(term);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    return store.end().position > position
      ? batch(position, store.recordsAfter(position, BATCH_LIMIT))
      : undefined;
  }

  function replicate(parameters: Replicate): Future<Result<Batch, Failure>> {
    const {term, end, history} = parameters;
    const refusal = member.checkPrimary(term);
    if (refusal !== undefined) {
      return settledFuture(Err(refusal));
    }
    const own = {end: store.end(), history: store.history()};
    const keep = lastCommonPosition(own, {end, history});
    if (keep < end.position) {
      return settledFuture(batch(keep, []));
    }
    const answer = answerNow(term, keep);
    return answer === undefined ? wait(term, keep) : settledFuture(answer);
  }

  function wait(
    term: number,
    position: number,
  ): Future<Result<Batch, Failure>> {
    const answer = createDeferred<Result<Batch, Failure>>();
    const waiter: Waiter = {
      term,
      position,
      answer,
      cancelHeartbeat: timer.after(heartbeat(), () => {
        waiters.delete(waiter);
        answer.settle(batch(position, []));
      }),
    };
    waiters.add(waiter);
    return answer.future;
  }

  function wake(): void {
    for (const waiter of [...waiters]) {
      const answer = answerNow(waiter.term, waiter.position);
      if (answer !== undefined) {
        waiters.delete(waiter);
        waiter.cancelHeartbeat();
        waiter.answer.settle(answer);
      }
    }
  }

  return {replicate, wake};
}
