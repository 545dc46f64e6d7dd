/**
 * Runs statements at targets: selects a target, bounds the wait for one, and
 * retries or refuses the statement.
 */
import {type LogPosition, worthOfPriority} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  mapFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {type StatementAnswer, errorAnswer} from '@kelpstep/statements';
import type {
  PinnedStart,
  StatementOutcome,
  StatementRequest,
  TargetGroup,
  TargetLink,
} from '@kelpstep/targets';

import {RETRY_BACKOFF_MS, backoffAfter} from './attempt_backoff';
import {
  DEFAULT_RETRY_AFTER_MS,
  type DispatchRequest,
  type DispatchResult,
  type Dispatcher,
  NO_ROOM,
  latestStart,
  refusalAnswer,
  retryAfterWait,
  statementKindOf,
} from './dispatch_types';
import {type Attempt, awaitHedged, createRetryBudget} from './hedged_attempt';
import {LONGEST_IMMEDIATE_WAIT_MS, createStartWaits} from './start_wait';
import {
  type SelectedTarget,
  type TargetSearch,
  createTargetSelector,
} from './select_target';
import {
  REFUSED_BY_TARGET,
  type TrackedAttempt,
  mayHaveRun,
} from './statement_runs';

/** What a local dispatcher needs: groups of targets and their state. */
export interface DispatcherOptions {
  readonly runtime: Runtime;
  group(name: string): TargetGroup | undefined;
  /** True while the group's primary is being replaced. */
  isPrimaryChanging(group: string): boolean;
}

/** Runs statements over this proxy's own connections to targets. */
export interface LocalDispatcher extends Dispatcher {
  /**
   * Runs a statement like `dispatch`, but returns undefined if it has certainly
   * not run and a peer may have a target for it. `mayTryPeers` tells whether a
   * peer may be tried.
   */
  tryDispatch(
    request: DispatchRequest,
    mayTryPeers: () => boolean,
  ): Task<DispatchResult | undefined>;
  /**
   * Predicted time until there is a connection for the statement, 0 unless
   * transactions hold all of them; undefined while no target is expected to be
   * available or to accept a connection.
   */
  expectedWait(request: DispatchRequest): Milliseconds | undefined;
  /** Samples the state of the group; to be called on every tick. */
  observe(group: TargetGroup): void;
}

/** Maximum number of attempts that are sent for one statement. */
const MAXIMUM_ATTEMPTS = 8;
/**
 * Minimum hedge delay. If a read is unanswered for this time, its answer is
 * lost or the target is slow, and a second attempt is made. The delay is below
 * the tightest latency objective of callers and above the time that a target's
 * own queue adds under load.
 */
const MINIMUM_HEDGE_DELAY_MS: Milliseconds = 280;
/** Hedge delay of slow statements, in multiples of their expected time. */
const HEDGE_DELAY_FACTOR = 4;

interface DispatchProgress {
  attempts: number;
  target: string;
  reason: string;
  retryAfter: Milliseconds;
  readonly triedTargets: Map<string, Milliseconds>;
}

/** Creates a dispatcher that uses only this proxy's own connections. */
export function createDispatcher(options: DispatcherOptions): LocalDispatcher {
  const {runtime, isPrimaryChanging} = options;
  const {timer} = runtime;
  const selector = createTargetSelector({
    runtime,
    isPrimaryChanging,
  });
  const budget = createRetryBudget();
  const startWaits = createStartWaits();

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
  function* runCounted(
    search: TargetSearch,
    selected: SelectedTarget,
    progress: DispatchProgress,
  ): Task<PinnedStart> {
    const attempts: TrackedAttempt[] = [];

    function startTracked(
      target: SelectedTarget,
      request: DispatchRequest,
      onSent: () => void,
    ): Attempt {
      const tracked: TrackedAttempt = {isSent: false, outcome: undefined};
      attempts.push(tracked);
      const attempt = startAttempt(target, request, () => {
        tracked.isSent = true;
        onSent();
      });
      attempt.onSettled(({outcome}) => {
        tracked.outcome = outcome;
      });
      return attempt;
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
    start: typeof startAttempt,
  ): Task<PinnedStart> {
    const {work: request} = search;
    let sentAt: Milliseconds | undefined;
    let hasEnded = false;
    // An attempt whose answer is no longer needed leaves its queue.
    const cancellable = {
      ...request,
      isAbandoned: () => hasEnded || request.isAbandoned(),
    };
    const first = start(selected, cancellable, () => {
      sentAt = timer.now();
    });
    if (request.isWrite) {
      return yield* waitFor(first);
    }
    budget.deposit();
    const expected = selected.link.expectedTime(statementKindOf(request));
    const end = yield* awaitHedged({
      timer,
      first,
      sentAt: () => sentAt,
      hedgeDelay: Math.max(
        MINIMUM_HEDGE_DELAY_MS,
        HEDGE_DELAY_FACTOR * expected,
      ),
      start() {
        progress.triedTargets.set(selected.link.target, timer.now());
        const alternative = selector.selectAlternative(search, selected);
        if (alternative === undefined || !budget.tryWithdraw()) {
          return undefined;
        }
        progress.attempts += 1;
        progress.reason = `second attempt at ${alternative.link.target}`;
        return start(alternative, cancellable, () => {});
      },
    });
    hasEnded = true;
    return end;
  }

  function* tryDispatch(
    request: DispatchRequest,
    mayTryPeers: () => boolean,
  ): Task<DispatchResult | undefined> {
    const progress: DispatchProgress = {
      attempts: 0,
      target: '',
      reason: '',
      retryAfter: DEFAULT_RETRY_AFTER_MS,
      triedTargets: new Map(),
    };
    const until = latestStart(request);
    const group = yield* findGroup(request.route.group, until);
    if (group === undefined) {
      return refuse(progress, 'no targets');
    }
    while (progress.attempts < MAXIMUM_ATTEMPTS) {
      // Unsent statements don't count as attempts; only the time bounds them.
      if (timer.now() >= until && progress.attempts === 0) {
        return refuse(progress, progress.reason || 'no target may run it');
      }
      const search = {
        group,
        work: request,
        waitUntil: until,
        triedAt: progress.triedTargets,
        mayTryPeers,
      };
      const selected = yield* selector.find(search);
      if (selected === 'elsewhere') {
        return undefined;
      }
      if (selected === undefined || 'retryAfter' in selected) {
        progress.retryAfter = selected?.retryAfter ?? progress.retryAfter;
        const reason = selected?.reason ?? progress.reason;
        return refuse(progress, reason || 'no target may run it');
      }
      progress.target = selected.link.target;
      const {outcome, pinned} = yield* runCounted(search, selected, progress);
      progress.attempts += outcome.kind === 'unreached' ? 0 : 1;
      const result = handleOutcome(
        group,
        request,
        selected.link,
        outcome,
        progress,
      );
      if (result !== undefined) {
        return {...result, pinned};
      }
      const isConnectionMissing =
        outcome.kind === 'unreached' &&
        outcome.failure === 'tooManyConnections';
      if (isConnectionMissing) {
        const wait = expectedWait(request) ?? 0;
        // Without pinned connections, the target is at its limit for other
        // proxies. Peers would find the same, so the statement is retried here.
        const hasNoRoom = wait > LONGEST_IMMEDIATE_WAIT_MS;
        if (hasNoRoom && !isPrimaryChanging(group.group) && mayTryPeers()) {
          return undefined;
        }
        if (timer.now() + wait > until) {
          progress.retryAfter = retryAfterWait(runtime.random, wait);
          return refuse(progress, NO_ROOM);
        }
      }
      const isWaitingBegin =
        isConnectionMissing && request.statement.kind === 'begin';
      const endWait = isWaitingBegin
        ? startWaits.addWaitingBegin(selected.link.target)
        : () => {};
      yield* sleep(backoffAfter(outcome, progress.reason));
      endWait();
    }
    return refuse(progress, progress.reason);
  }

  function expectedWait(request: DispatchRequest): Milliseconds | undefined {
    const group = options.group(request.route.group);
    const links = group && selector.linksFor(group, request);
    return links && startWaits.expected(links, request);
  }

  /**
   * Finds the group; waits while it is unknown, as it may be after the start.
   */
  function* findGroup(
    name: string,
    until: Milliseconds,
  ): Task<TargetGroup | undefined> {
    while (options.group(name) === undefined && timer.now() < until) {
      yield* sleep(RETRY_BACKOFF_MS);
    }
    return options.group(name);
  }

  /**
   * The result after an attempt; undefined if the statement is to be tried
   * again.
   */
  function handleOutcome(
    group: TargetGroup,
    request: DispatchRequest,
    link: TargetLink,
    outcome: StatementOutcome,
    progress: DispatchProgress,
  ): DispatchResult | undefined {
    progress.triedTargets.set(link.target, timer.now());
    switch (outcome.kind) {
      case 'answered':
        return handleAnswer(group, request, link, outcome.answer, progress);
      case 'refused':
        progress.retryAfter = outcome.retryAfter;
        return refuse(progress, 'overloaded');
      case 'unreached':
        progress.reason = outcome.failure;
        return undefined;
      case 'lost':
        progress.reason = 'answer lost';
        return request.isWrite
          ? createResult(progress, errorAnswer('inDoubt', 'idle'))
          : handleLostRead(request, progress);
    }
  }

  function handleLostRead(
    request: DispatchRequest,
    progress: DispatchProgress,
  ): DispatchResult | undefined {
    const isLate = timer.now() >= request.arrivedAt + request.route.timeout;
    return isLate
      ? createResult(progress, errorAnswer('timedOut', 'idle'))
      : undefined;
  }

  function handleAnswer(
    group: TargetGroup,
    request: DispatchRequest,
    link: TargetLink,
    answer: StatementAnswer,
    progress: DispatchProgress,
  ): DispatchResult | undefined {
    const {error} = answer;
    if (error === undefined) {
      return createResult(progress, answer);
    }
    progress.reason = error.name;
    if (error.name === 'readOnly') {
      group.positions.dismissLeader(link.target);
      void link.probeStatus();
    }
    const mayRetry =
      REFUSED_BY_TARGET.has(error.name) ||
      (error.name === 'failed' && !request.isWrite);
    if (mayRetry) {
      return undefined;
    }
    return createResult(progress, errorAnswer(error.name, 'idle'));
  }

  function createResult(
    progress: DispatchProgress,
    answer: StatementAnswer,
  ): DispatchResult {
    const {attempts, target, reason} = progress;
    return {answer, target, attempts, reason, via: '', pinned: undefined};
  }

  function refuse(progress: DispatchProgress, reason: string): DispatchResult {
    progress.reason = reason;
    return createResult(progress, refusalAnswer(reason, progress.retryAfter));
  }

  function* dispatch(request: DispatchRequest): Task<DispatchResult> {
    const result = yield* tryDispatch(request, () => false);
    // The result is always defined if peers may not be tried.
    return result as DispatchResult;
  }

  return {
    dispatch,
    tryDispatch,
    observe: selector.observe,
    expectedWait,
  };
}
