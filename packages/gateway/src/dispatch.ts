/**
 * Runs statements at targets: selects a target, bounds the wait for one, and
 * retries or refuses the statement.
 */
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
} from '@kelpstep/runtime';
import {type StatementAnswer, errorAnswer} from '@kelpstep/statements';
import type {
  StatementOutcome,
  TargetGroup,
  TargetLink,
} from '@kelpstep/targets';

import {RETRY_BACKOFF_MS, backoffAfter} from './attempt_backoff';
import {type DispatchProgress, createAttemptRunner} from './attempt_runner';
import {
  DEFAULT_RETRY_AFTER_MS,
  type DispatchRequest,
  type DispatchResult,
  type Dispatcher,
  NO_ROOM,
  latestStart,
  refusalAnswer,
  retryAfterWait,
} from './dispatch_types';
import {LONGEST_IMMEDIATE_WAIT_MS, createStartWaits} from './start_wait';
import {
  type SelectedTarget,
  type SelectionResult,
  type TargetSearch,
  createTargetSelector,
} from './select_target';
import {REFUSED_BY_TARGET} from './statement_runs';

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
/** Outcomes of attempts of which nothing was sent, and which are repeated. */
const NOT_SENT: ReadonlySet<StatementOutcome['kind']> = new Set([
  'unreached',
  'withdrawn',
]);

/** Creates a dispatcher that uses only this proxy's own connections. */
export function createDispatcher(options: DispatcherOptions): LocalDispatcher {
  const {runtime, isPrimaryChanging} = options;
  const {timer} = runtime;
  const selector = createTargetSelector({
    runtime,
    isPrimaryChanging,
  });
  const attempts = createAttemptRunner({timer, selector});
  const startWaits = createStartWaits();

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
      refusedBy: new Set(),
    };
    const until = latestStart(request);
    const group = yield* findGroup(request.route.group, until);
    if (group === undefined) {
      return refuse(progress, 'no targets');
    }
    let next: SelectedTarget | undefined;
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
      const selected: SelectionResult = next ?? (yield* selector.find(search));
      if (selected === 'elsewhere') {
        return undefined;
      }
      if (selected === undefined || 'retryAfter' in selected) {
        progress.retryAfter = selected?.retryAfter ?? progress.retryAfter;
        const reason = selected?.reason ?? progress.reason;
        return refuse(progress, reason || 'no target may run it');
      }
      progress.target = selected.link.target;
      const {outcome, pinned} = yield* attempts.run(search, selected, progress);
      progress.attempts += NOT_SENT.has(outcome.kind) ? 0 : 1;
      next =
        outcome.kind === 'refused'
          ? findAfterRefusal(search, selected, progress)
          : undefined;
      if (next !== undefined) {
        continue;
      }
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

  /**
   * With outlier detection, another target that is expected to start a read in
   * time after a target's queue has refused it.
   */
  function findAfterRefusal(
    search: TargetSearch,
    selected: SelectedTarget,
    progress: DispatchProgress,
  ): SelectedTarget | undefined {
    const {group, work} = search;
    if (group.outliers === undefined || work.needsPrimary) {
      return undefined;
    }
    progress.refusedBy.add(selected.link.target);
    progress.reason = 'overloaded';
    return selector.selectAfterRefusal(search, selected, progress.refusedBy);
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
      case 'withdrawn':
        progress.reason = 'target ejected';
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
