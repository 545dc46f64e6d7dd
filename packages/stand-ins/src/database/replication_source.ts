/** Primary side of replication: answers replicas' requests for records. */
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

/** Maximum number of records in one answer. */
const MAXIMUM_BATCH_RECORDS = 1000;

/** Serves `target.replicate`. */
export interface ReplicationSource {
  replicate(parameters: Replicate): Future<Result<Batch, Failure>>;
  /** Answers waiting requests that a change has made answerable. */
  answerWaiters(): void;
}

export interface ReplicationSourceOptions {
  readonly timer: TimerService;
  readonly store: Store;
  readonly member: MemberState;
  /** Maximum time for which a request waits for new records. */
  readonly heartbeat: () => Milliseconds;
}

interface Waiter {
  readonly term: number;
  /** End of the replica's log, which is a prefix of this log. */
  readonly position: number;
  readonly answer: Deferred<Result<Batch, Failure>>;
  readonly cancelHeartbeat: Unsubscribe;
}

/** Creates a source with no waiting requests. */
export function createReplicationSource(
  options: ReplicationSourceOptions,
): ReplicationSource {
  const {timer, store, member, heartbeat} = options;
  const waiters = new Set<Waiter>();

  function batch(keep: number, records: LogRecord[]): Result<Batch, Failure> {
    return Ok({keep, records, primaryEnd: store.end()});
  }

  /** Returns the answer if there is one now; `undefined` if it has to wait. */
  function answerNow(
    term: number,
    position: number,
  ): Result<Batch, Failure> | undefined {
    const refusal = member.checkPrimary(term);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    return store.end().position > position
      ? batch(position, store.recordsAfter(position, MAXIMUM_BATCH_RECORDS))
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

  function answerWaiters(): void {
    for (const waiter of [...waiters]) {
      const answer = answerNow(waiter.term, waiter.position);
      if (answer !== undefined) {
        waiters.delete(waiter);
        waiter.cancelHeartbeat();
        waiter.answer.settle(answer);
      }
    }
  }

  return {replicate, answerWaiters};
}
