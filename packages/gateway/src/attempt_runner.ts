/**
 * Runs the attempts of one statement at targets: the first one, and a second
 * one if a read stays unanswered.
 */
import {type LogPosition, worthOfPriority} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Task,
  type TimerService,
  mapFuture,
  waitFor,
} from '@kelpstep/runtime';
import {
  type PinnedStart,
  type StatementRequest,
  TRIAL_HEDGE_DELAY_MS,
} from '@kelpstep/targets';

import {type DispatchRequest, statementKindOf} from './dispatch_types';
import {type Attempt, awaitHedged, createRetryBudget} from './hedged_attempt';
import {createAttemptObserver} from './observed_attempt';
import type {
  SelectedTarget,
  TargetSearch,
  TargetSelector,
} from './select_target';
import {type TrackedAttempt, mayHaveRun} from './statement_runs';

/**
 * Minimum hedge delay. If a read is unanswered for this time, its answer is
 * lost or the target is slow, and a second attempt is made. The delay is below
 * the tightest latency objective of callers and above the time that a target's
 * own queue adds under load.
 */
const MINIMUM_HEDGE_DELAY_MS: Milliseconds = 280;
/** Hedge delay of slow statements, in multiples of their expected time. */
const HEDGE_DELAY_FACTOR = 4;

/** What has been tried for one statement. */
export interface DispatchProgress {
  attempts: number;
  target: string;
  reason: string;
  retryAfter: Milliseconds;
  readonly triedTargets: Map<string, Milliseconds>;
  /** Targets whose queue refused the statement. */
  readonly refusedBy: Set<string>;
}

export interface AttemptRunnerOptions {
  readonly timer: TimerService;
  readonly selector: Pick<TargetSelector, 'selectAlternative'>;
}

/** Runs statements at selected targets, with one budget of second attempts. */
export interface AttemptRunner {
  run(
    search: TargetSearch,
    selected: SelectedTarget,
    progress: DispatchProgress,
  ): Task<PinnedStart>;
}

interface StartedAttempt {
  readonly attempt: Attempt;
  /** To be called when the hedge delay has passed without an answer. */
  onUnanswered(): void;
}

type StartAttempt = (
  target: SelectedTarget,
  request: DispatchRequest,
  onSent: () => void,
) => StartedAttempt;

/** Creates a runner with a full budget of second attempts. */
export function createAttemptRunner({
  timer,
  selector,
}: AttemptRunnerOptions): AttemptRunner {
  const budget = createRetryBudget();

  function toTargetWork(
    request: DispatchRequest,
    after: LogPosition | undefined,
    onSent: () => void,
  ): StatementRequest {
    const {id, route, statement, shape, settings} = request;
    const isBegin = statement.kind === 'begin';
    return {
      kind: statementKindOf(request),
      worth: worthOfPriority(route.priority),
      deadline: request.arrivedAt + route.timeout,
      user: request.account,
      settings,
      shape,
      request: {
        ...(isBegin ? {} : {id}),
        body: statement,
        ...(after === undefined ? {} : {after}),
      },
      isAbandoned: request.isAbandoned,
      isMovable: !request.isWrite && !request.needsPrimary,
      onSent,
    };
  }

  function startAttempt(
    {link, after}: SelectedTarget,
    request: DispatchRequest,
    onSent: () => void,
  ): Attempt {
    const work = toTargetWork(request, after, onSent);
    return request.statement.kind === 'begin'
      ? link.pin(work)
      : mapFuture(link.run(work), outcome => ({
          outcome,
          pinned: undefined,
        }));
  }

  /**
   * Runs a statement and counts the attempts that may have run. No attempt that
   * is still queued at the end is sent later.
   */
  function* run(
    search: TargetSearch,
    selected: SelectedTarget,
    progress: DispatchProgress,
  ): Task<PinnedStart> {
    const attempts: TrackedAttempt[] = [];

    function startTracked(
      target: SelectedTarget,
      request: DispatchRequest,
      onSent: () => void,
    ): StartedAttempt {
      const tracked: TrackedAttempt = {isSent: false, outcome: undefined};
      attempts.push(tracked);
      const {link, isTrial = false} = target;
      const {outliers} = search.group;
      const observer = createAttemptObserver(
        {timer, outliers, link, isTrial},
        request,
      );
      const attempt = startAttempt(target, request, () => {
        tracked.isSent = true;
        observer.onSent();
        onSent();
      });
      attempt.onSettled(({outcome}) => {
        tracked.outcome = outcome;
        observer.onEnd(outcome);
      });
      return {attempt, onUnanswered: observer.onUnanswered};
    }

    const end = yield* runAttempts(search, selected, progress, startTracked);
    search.work.runs.add(attempts.filter(mayHaveRun).length);
    return end;
  }

  /**
   * Runs a statement. A read that stays unanswered gets a second attempt if the
   * retry budget allows it.
   */
  function* runAttempts(
    search: TargetSearch,
    selected: SelectedTarget,
    progress: DispatchProgress,
    start: StartAttempt,
  ): Task<PinnedStart> {
    const {work: request} = search;
    let sentAt: Milliseconds | undefined;
    let hasEnded = false;
    // An attempt whose answer is no longer needed leaves its queue.
    const cancellable = {
      ...request,
      isAbandoned: () => hasEnded || request.isAbandoned(),
    };
    const {attempt: first, onUnanswered} = start(selected, cancellable, () => {
      sentAt = timer.now();
    });
    if (request.isWrite) {
      return yield* waitFor(first);
    }
    budget.deposit();
    const {isTrial = false} = selected;
    const expected = selected.link.expectedTime(statementKindOf(request));
    const hedgeDelay = Math.max(
      MINIMUM_HEDGE_DELAY_MS,
      HEDGE_DELAY_FACTOR * expected,
    );
    const end = yield* awaitHedged({
      timer,
      first,
      sentAt: () => sentAt,
      hedgeDelay: isTrial ? TRIAL_HEDGE_DELAY_MS : hedgeDelay,
      start() {
        onUnanswered();
        progress.triedTargets.set(selected.link.target, timer.now());
        const alternative = selector.selectAlternative(search, selected);
        const mayStart =
          alternative !== undefined && (isTrial || budget.tryWithdraw());
        if (!mayStart) {
          return undefined;
        }
        progress.attempts += 1;
        progress.reason = `second attempt at ${alternative.link.target}`;
        return start(alternative, cancellable, () => {}).attempt;
      },
    });
    hasEnded = true;
    return end;
  }

  return {run};
}
