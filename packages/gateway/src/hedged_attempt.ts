/**
 * Hedges an unanswered attempt with a second one: the answer of a statement
 * that has run may get lost, which would otherwise show only at the statement's
 * timeout. Only for statements that may run twice.
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

/**
 * An attempt in progress. `pinned` is set in its result only if it began a
 * transaction.
 */
export type Attempt = Future<PinnedStart>;

/** Parameters of a hedged attempt. */
export interface SecondAttemptOptions {
  readonly timer: TimerService;
  readonly first: Attempt;
  /** Monotonic time of sending the first; undefined while it is queued. */
  sentAt(): Milliseconds | undefined;
  /** Time from sending the first until the second starts if unanswered. */
  readonly patience: Milliseconds;
  /** Starts the second; undefined if there is no target or no budget for it. */
  start(): Attempt | undefined;
}

/** Interval of the check whether the first attempt was sent. */
const LOOK_PERIOD: Milliseconds = 50;

/** Limits extra attempts to a small share of all, since they add load. */
export interface AttemptBudget {
  /** Records a first attempt, which adds a share of an extra one. */
  earn(): void;
  /** Takes one extra attempt from the budget; false if none is left. */
  spend(): boolean;
}

/** Extra attempts per first attempt. */
const BUDGET_SHARE = 0.1;
/** Limits the burst of extra attempts that may follow a quiet period. */
const MAXIMUM_SAVED = 20;

/** Creates a full budget. */
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

/** The first success; if both fail, the result that came first. */
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

/**
 * Waits for the first attempt, and for a second one if the first stays
 * unanswered for the hedge delay.
 */
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
