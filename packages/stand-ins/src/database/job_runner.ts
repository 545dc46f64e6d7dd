/** Runs the jobs of connections in slots, with their service time. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Future, Milliseconds, Runtime, createDeferred} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import type {DatabaseSettings} from './database_settings';
import type {Session} from './session';
import type {SlotPool} from './slot_pool';

/** How a job uses slots: not at all, for its time, or beyond if it succeeds. */
export type SlotUse = 'none' | 'while-running' | 'kept';

/** A piece of work on one connection. */
export interface SlotJob<R> {
  readonly session: Session;
  readonly slotUse: SlotUse;
  /** Time that it takes before its effect. */
  readonly duration: Milliseconds;
  /** The effect and its answer, in one step. */
  readonly effect: () => Result<R, Failure>;
}

/** Runs jobs; those of one connection one after another. */
export interface JobRunner {
  run<R>(job: SlotJob<R>): Future<Result<R, Failure>>;
  /** The service time of the next statement. */
  serviceTime(): Milliseconds;
}

/** What a runner is made of. */
export interface JobRunnerOptions {
  readonly runtime: Pick<Runtime, 'timer' | 'random'>;
  readonly slots: SlotPool;
  readonly settings: () => DatabaseSettings;
}

/** Creates a runner without jobs. */
export function createJobRunner(options: JobRunnerOptions): JobRunner {
  const {runtime, slots, settings} = options;

  function serviceTime(): Milliseconds {
    const {serviceTime: mean, serviceJitter} = settings();
    return serviceJitter === 0
      ? mean
      : runtime.random.jitter(mean, serviceJitter);
  }

  /** Without service time there is no timer, as timers are slow. */
  function takeTime(duration: Milliseconds, action: () => void): void {
    if (duration > 0) {
      runtime.timer.after(duration, action);
    } else {
      action();
    }
  }

  function run<R>(job: SlotJob<R>): Future<Result<R, Failure>> {
    const {session, slotUse, duration, effect} = job;
    const answer = createDeferred<Result<R, Failure>>();

    function inSlot(done: () => void): void {
      session.onClose = undefined;
      takeTime(duration, () => {
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
        inSlot(done);
        return;
      }
      let granted = false;
      const cancel = slots.acquire(() => {
        granted = true;
        inSlot(done);
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
