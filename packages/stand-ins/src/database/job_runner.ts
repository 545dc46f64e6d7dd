/** Runs the jobs of sessions in slots and applies their service time. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Future, Milliseconds, Runtime, createDeferred} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import type {DatabaseSettings} from './database_settings';
import type {Session} from './session';
import type {SlotPool} from './slot_pool';

/**
 * How a job uses slots: not at all, while it runs, or also after its end if it
 * succeeds.
 */
export type SlotUse = 'none' | 'while-running' | 'kept';

/** A unit of work of one session. */
export interface SlotJob<R> {
  readonly session: Session;
  readonly slotUse: SlotUse;
  /** Time between the start of the job and its effect. */
  readonly duration: Milliseconds;
  /** Applies the effect synchronously and returns the answer. */
  readonly effect: () => Result<R, Failure>;
}

/** Runs jobs; the jobs of one session run one after another. */
export interface JobRunner {
  run<R>(job: SlotJob<R>): Future<Result<R, Failure>>;
  /** Service time of the next statement, with jitter applied. */
  serviceTime(): Milliseconds;
}

export interface JobRunnerOptions {
  readonly runtime: Pick<Runtime, 'timer' | 'random'>;
  readonly slots: SlotPool;
  readonly settings: () => DatabaseSettings;
}

/** Creates a runner with no jobs. */
export function createJobRunner(options: JobRunnerOptions): JobRunner {
  const {runtime, slots, settings} = options;

  function serviceTime(): Milliseconds {
    const {serviceTime: mean, serviceJitter} = settings();
    return serviceJitter === 0
      ? mean
      : runtime.random.jitter(mean, serviceJitter);
  }

  /** Runs an action after a duration; 0 sets no timer, as timers are slow. */
  function runAfter(duration: Milliseconds, action: () => void): void {
    if (duration > 0) {
      runtime.timer.after(duration, action);
    } else {
      action();
    }
  }

  function run<R>(job: SlotJob<R>): Future<Result<R, Failure>> {
    const {session, slotUse, duration, effect} = job;
    const answer = createDeferred<Result<R, Failure>>();

    function runInSlot(done: () => void): void {
      session.onClose = undefined;
      runAfter(duration, () => {
        const result = effect();
        if (slotUse === 'while-running' || (slotUse === 'kept' && result.err)) {
          slots.release();
        }
        answer.settle(result);
        done();
      });
    }

    session.enqueue(done => {
      if (slotUse === 'none') {
        runInSlot(done);
        return;
      }
      let granted = false;
      const cancel = slots.acquire(() => {
        granted = true;
        runInSlot(done);
      });
      if (cancel === undefined) {
        answer.settle(Err(createFailure('SLOTS_EXHAUSTED')));
        done();
      } else if (!granted) {
        session.onClose = cancel;
      }
    });
    return answer.future;
  }

  return {run, serviceTime};
}
