/**
 * A second attempt beside one that tells nothing: a target may run a statement
 * and its answer be lost, which only the statement's timeout would show. Only for
 * what may run twice.
 */
import {
  type Future,
  type Milliseconds,
  type Task,
  type TimerService,
  createDeferred,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import type {PinnedStart} from '@kelpstep/targets';

/** An attempt under way; a statement that pins nothing has none at its end. */
export type Attempt = Future<PinnedStart>;

/** What is needed for a second attempt. */
export interface SecondAttemptOptions {
  readonly timer: TimerService;
  readonly first: Attempt;
  /** When the first was sent to its target; undefined while it waits here. */
  sentAt(): Milliseconds | undefined;
  /** Silence after which the second starts, from the sending of the first. */
  readonly patience: Milliseconds;
  /** Starts the second; undefined if there is no place or no budget for it. */
  start(): Attempt | undefined;
}

/** How often it is looked whether the first was sent. */
const LOOK_PERIOD: Milliseconds = 50;

/** Keeps second attempts a small part of all: they are load as well. */
export interface AttemptBudget {
  /** A first attempt was made. */
  earn(): void;
  /** True if a second may be made; it is counted. */
  spend(): boolean;
}

/** Second attempts for each first one at most. */
const BUDGET_SHARE = 0.1;
/** Saved up at most: a quiet time doesn't pay for a flood. */
const MAXIMUM_SAVED = 20;

/** Creates a budget that has something saved up. */
export function createAttemptBudget(): AttemptBudget {
  let saved = MAXIMUM_SAVED;
  return {
    earn() {
      saved = Math.min(MAXIMUM_SAVED, saved + BUDGET_SHARE);
    },
    spend() {
      if (saved < 1) {
        return false;
      }
      saved -= 1;
      return true;
    },
  };
}

function isAnswered({outcome}: PinnedStart): boolean {
  return outcome.kind === 'answered' && outcome.answer.error === undefined;
}

/** The first success of both, else the first attempt's end. */
function firstSuccess(first: Attempt, second: Attempt): Attempt {
  const result = createDeferred<PinnedStart>();
  const ended: PinnedStart[] = [];

  function onEnd(end: PinnedStart): void {
    ended.push(end);
    const isLast = ended.length === 2;
    const isTaken =
      (isAnswered(end) || isLast) &&
      result.settle(isAnswered(end) ? end : (ended[0] ?? end));
    if (!isTaken) {
      end.pinned?.end();
    }
  }

  first.onSettled(onEnd);
  second.onSettled(onEnd);
  return result.future;
}

/** Waits for the first attempt, and for a second if that one stays silent. */
export function* awaitWithSecond(
  options: SecondAttemptOptions,
): Task<PinnedStart> {
  const {timer, first, patience} = options;
  for (;;) {
    const sentAt = options.sentAt();
    const silentUntil = sentAt === undefined ? Infinity : sentAt + patience;
    const pause = Math.min(LOOK_PERIOD, silentUntil - timer.now());
    const end = yield* waitAtMost(first, Math.max(0, pause));
    if (end !== undefined) {
      return end;
    }
    if (timer.now() >= silentUntil) {
      break;
    }
  }
  const second = options.start();
  return yield* waitFor(
    second === undefined ? first : firstSuccess(first, second),
  );
}
