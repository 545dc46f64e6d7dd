/**
 * Hedges an unanswered attempt with a second one: the answer of a statement
 * that has run may get lost, which would otherwise be detected only at the
 * statement's timeout. Only statements that may run twice may be hedged.
 */
import {
  type Future,
  type Milliseconds,
  type Task,
  type TimerService,
  createDeferred,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import type {PinnedStart} from '@kelpstep/targets';

/**
 * An attempt in progress. `pinned` is set in its result only if it began a
 * transaction.
 */
export type Attempt = Future<PinnedStart>;

export interface HedgedAttemptOptions {
  readonly timer: TimerService;
  readonly first: Attempt;
  /**
   * Monotonic time at which the first attempt was sent; undefined while it is
   * queued.
   */
  sentAt(): Milliseconds | undefined;
  /** Time after sending the first attempt at which the second one starts. */
  readonly hedgeDelay: Milliseconds;
  /**
   * Starts the second attempt; undefined if there is no target or no budget.
   */
  start(): Attempt | undefined;
}

/** Interval between checks of whether the first attempt was sent. */
const SENT_POLL_INTERVAL_MS: Milliseconds = 50;

/** Limits extra attempts to a small share of all, since they add load. */
export interface RetryBudget {
  /** Records a first attempt, which adds `RETRY_RATIO` of an extra attempt. */
  deposit(): void;
  /** Takes one extra attempt from the budget; false if none is left. */
  tryWithdraw(): boolean;
}

/** Extra attempts allowed per first attempt. */
const RETRY_RATIO = 0.1;
/**
 * Maximum saved budget, which limits the burst of extra attempts after a quiet
 * period.
 */
const MAXIMUM_SAVED_RETRIES = 20;

/** Creates a budget that holds `MAXIMUM_SAVED_RETRIES` extra attempts. */
export function createRetryBudget(): RetryBudget {
  let saved = MAXIMUM_SAVED_RETRIES;
  return {
    deposit() {
      saved = Math.min(MAXIMUM_SAVED_RETRIES, saved + RETRY_RATIO);
    },
    tryWithdraw() {
      if (saved < 1) {
        return false;
      }
      saved -= 1;
      return true;
    },
  };
}

function isSuccessful({outcome}: PinnedStart): boolean {
  return outcome.kind === 'answered' && outcome.answer.error === undefined;
}

/** Waits for the first success; if both fail, returns the earlier result. */
function awaitFirstSuccess(first: Attempt, second: Attempt): Attempt {
  const result = createDeferred<PinnedStart>();
  const ended: PinnedStart[] = [];

  function onEnd(end: PinnedStart): void {
    ended.push(end);
    const isLast = ended.length === 2;
    const isTaken =
      (isSuccessful(end) || isLast) &&
      result.settle(isSuccessful(end) ? end : (ended[0] ?? end));
    if (!isTaken) {
      end.pinned?.end();
    }
  }

  first.onSettled(onEnd);
  second.onSettled(onEnd);
  return result.future;
}

/**
 * Waits for the first attempt. If it stays unanswered for the hedge delay,
 * starts a second one and waits for the first success of both.
 */
export function* awaitHedged(options: HedgedAttemptOptions): Task<PinnedStart> {
  const {timer, first, hedgeDelay} = options;
  for (;;) {
    const sentAt = options.sentAt();
    const hedgeAt = sentAt === undefined ? Infinity : sentAt + hedgeDelay;
    const pause = Math.min(SENT_POLL_INTERVAL_MS, hedgeAt - timer.now());
    const end = yield* waitWithTimeout(first, Math.max(0, pause));
    if (end !== undefined) {
      return end;
    }
    if (timer.now() >= hedgeAt) {
      break;
    }
  }
  const second = options.start();
  return yield* waitFor(
    second === undefined ? first : awaitFirstSuccess(first, second),
  );
}
