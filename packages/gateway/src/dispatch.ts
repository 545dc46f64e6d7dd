/**
 * Decides where a statement runs, for how long it waits for a target that may
 * run it, what is tried again, and when it is refused.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import {
  type PreparedShape,
  type SessionSettings,
  type SessionStatement,
  type StatementAnswer,
  type StatementErrorName,
  errorAnswer,
} from '@kelpstep/statements';
import type {
  PinnedConnection,
  StatementOutcome,
  StatementWork,
  TargetGroup,
  TargetLink,
} from '@kelpstep/targets';

import {chooseReader} from './choose_reader';
import type {CallerRoute} from './configuration';

/** A statement outside a transaction, or the start of one. */
export interface Dispatch {
  readonly id: string;
  readonly route: CallerRoute;
  readonly statement: SessionStatement;
  readonly shape: PreparedShape | undefined;
  readonly settings: SessionSettings;
  /** Monotonic time at which the request came. */
  readonly arrivedAt: Milliseconds;
  /** End of the session's last commit. */
  readonly lastCommit: LogPosition | undefined;
  /** True if it may only run at the primary. */
  readonly needsPrimary: boolean;
  /** True if it writes: an answer that is lost leaves it in doubt. */
  readonly isWrite: boolean;
  isAbandoned(): boolean;
}

/** What became of it. */
export interface DispatchResult {
  readonly answer: StatementAnswer;
  readonly target: string;
  readonly attempts: number;
  readonly reason: string;
  /** There if it began a transaction. */
  readonly pinned: PinnedConnection | undefined;
}

/** What dispatch is made of. */
export interface DispatcherOptions {
  readonly runtime: Runtime;
  group(name: string): TargetGroup | undefined;
  /** True while the group's primary is being replaced. */
  isChanging(group: string): boolean;
}

/** Runs statements at the targets that may run them. */
export interface Dispatcher {
  dispatch(work: Dispatch): Task<DispatchResult>;
}

/**
 * Part of a route's staleness that isn't used up: it covers the caller's way
 * here and the way to the target.
 */
const STALENESS_MARGIN: Milliseconds = 150;
/** Share of the timeout for which a statement may wait for a target. */
const HOLD_SHARE = 0.85;
/** Targets that a statement is tried at. */
const MAXIMUM_ATTEMPTS = 8;
/** Pause after a target had no room. */
const RETRY_PAUSE: Milliseconds = 15;
/** Pause after no connection to a target could be had. */
const REOPEN_PAUSE: Milliseconds = 40;
/** Time to come back when no target may run the statement now. */
const DEFAULT_RETRY_AFTER: Milliseconds = 300;
/** Errors after which the same statement may be tried elsewhere. */
const RETRYABLE = new Set<StatementErrorName>([
  'busy',
  'lagging',
  'readOnly',
  'misrouted',
  'tooManyConnections',
  'notPrepared',
]);

interface Progress {
  attempts: number;
  target: string;
  reason: string;
  retryAfter: Milliseconds;
  readonly tried: Map<string, Milliseconds>;
}

/** Creates a dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {runtime} = options;
  const {timer} = runtime;

  function requiredTime({route, arrivedAt}: Dispatch): Milliseconds {
    if (route.freshness === 'primary') {
      return arrivedAt;
    }
    const usable = Math.max(0, route.maximumStaleness - STALENESS_MARGIN);
    return arrivedAt - usable;
  }

  /** The position that the target's log must hold; undefined if unknown. */
  function* requiredPosition(
    group: TargetGroup,
    work: Dispatch,
    until: Milliseconds,
  ): Task<LogPosition | undefined> {
    const covering = yield* group.awaitCovering(requiredTime(work), until);
    const {lastCommit} = work;
    if (covering === undefined || lastCommit === undefined) {
      return covering;
    }
    return compareLogPositions(covering, lastCommit) < 0
      ? lastCommit
      : covering;
  }

  function usablePrimary(group: TargetGroup): TargetLink | undefined {
    const leader = group.leader();
    const isUsable =
      leader !== undefined &&
      leader.isReached() &&
      !leader.registration().isLeaving &&
      !options.isChanging(group.group);
    return isUsable ? leader : undefined;
  }

  function workFor(
    work: Dispatch,
    after: LogPosition | undefined,
  ): StatementWork {
    const {id, route, statement, shape, settings} = work;
    const isBegin = statement.kind === 'begin';
    return {
      kind: kindOf(work),
      worth: 1 / (1 + route.priority),
      deadline: work.arrivedAt + route.timeout,
      settings,
      shape,
      request: {
        ...(isBegin ? {} : {id}),
        body: statement,
        ...(after === undefined ? {} : {after}),
      },
      isAbandoned: work.isAbandoned,
    };
  }

  function* run(
    link: TargetLink,
    work: Dispatch,
    after: LogPosition | undefined,
  ): Task<{outcome: StatementOutcome; pinned: PinnedConnection | undefined}> {
    const targetWork = workFor(work, after);
    if (work.statement.kind === 'begin') {
      return yield* waitFor(link.pin(targetWork));
    }
    const outcome = yield* waitFor(link.run(targetWork));
    return {outcome, pinned: undefined};
  }

  /** The primary, and the position that a read at it must find. */
  function* findPrimary(
    group: TargetGroup,
    work: Dispatch,
    until: Milliseconds,
  ): Task<Place | undefined> {
    for (;;) {
      const link = usablePrimary(group);
      const remaining = until - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      if (link === undefined) {
        yield* waitAtMost(group.changes.next(), remaining);
        continue;
      }
      if (work.isWrite) {
        return {link, after: undefined};
      }
      const after = yield* requiredPosition(group, work, until);
      if (after === undefined) {
        return undefined;
      }
      if (usablePrimary(group) === link) {
        return {link, after};
      }
    }
  }

  function* findReader(
    group: TargetGroup,
    work: Dispatch,
    until: Milliseconds,
    progress: Progress,
  ): Task<Place | undefined> {
    for (;;) {
      const after = yield* requiredPosition(group, work, until);
      if (after === undefined) {
        return undefined;
      }
      const link = chooseReader({
        group,
        kind: kindOf(work),
        position: after,
        triedAt: progress.tried,
        now: timer.now(),
      });
      if (link !== undefined) {
        return {link, after};
      }
      const remaining = until - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      yield* waitAtMost(group.changes.next(), Math.min(remaining, RETRY_PAUSE));
    }
  }

  function* dispatch(work: Dispatch): Task<DispatchResult> {
    const progress: Progress = {
      attempts: 0,
      target: '',
      reason: '',
      retryAfter: DEFAULT_RETRY_AFTER,
      tried: new Map(),
    };
    const until = work.arrivedAt + work.route.timeout * HOLD_SHARE;
    const group = yield* findGroup(work.route.group, until);
    if (group === undefined) {
      return refuse(progress, 'no targets');
    }
    while (progress.attempts < MAXIMUM_ATTEMPTS) {
      // What was not sent is no attempt: it may wait until it is too late.
      if (timer.now() >= until && progress.attempts === 0) {
        return refuse(progress, progress.reason || 'no target may run it');
      }
      const place = work.needsPrimary
        ? yield* findPrimary(group, work, until)
        : yield* findReader(group, work, until, progress);
      if (place === undefined) {
        return refuse(progress, progress.reason || 'no target may run it');
      }
      progress.target = place.link.target;
      const {outcome, pinned} = yield* run(place.link, work, place.after);
      progress.attempts += outcome.kind === 'unreached' ? 0 : 1;
      const result = conclude(group, work, place.link, outcome, progress);
      if (result !== undefined) {
        return {...result, pinned};
      }
      yield* sleep(pauseAfter(outcome, progress));
    }
    return refuse(progress, progress.reason);
  }

  /** Right after the start the list of targets may still be on its way. */
  function* findGroup(
    name: string,
    until: Milliseconds,
  ): Task<TargetGroup | undefined> {
    while (options.group(name) === undefined && timer.now() < until) {
      yield* sleep(RETRY_PAUSE);
    }
    return options.group(name);
  }

  function pauseAfter(
    outcome: StatementOutcome,
    {reason}: Progress,
  ): Milliseconds {
    if (outcome.kind === 'unreached') {
      return REOPEN_PAUSE;
    }
    return reason === 'lagging' ? 0 : RETRY_PAUSE;
  }

  /** The result that an attempt leads to; undefined to try again. */
  function conclude(
    group: TargetGroup,
    work: Dispatch,
    link: TargetLink,
    outcome: StatementOutcome,
    progress: Progress,
  ): DispatchResult | undefined {
    progress.tried.set(link.target, timer.now());
    switch (outcome.kind) {
      case 'answered':
        return concludeAnswer(group, work, link, outcome.answer, progress);
      case 'refused':
        progress.retryAfter = outcome.retryAfter;
        return refuse(progress, 'overloaded');
      case 'unreached':
        progress.reason = outcome.failure;
        return undefined;
      case 'lost':
        progress.reason = 'answer lost';
        return work.isWrite
          ? end(progress, errorAnswer('inDoubt', 'idle'))
          : concludeLostRead(work, progress);
    }
  }

  function concludeLostRead(
    work: Dispatch,
    progress: Progress,
  ): DispatchResult | undefined {
    const isLate = timer.now() >= work.arrivedAt + work.route.timeout;
    return isLate ? end(progress, errorAnswer('timedOut', 'idle')) : undefined;
  }

  function concludeAnswer(
    group: TargetGroup,
    work: Dispatch,
    link: TargetLink,
    answer: StatementAnswer,
    progress: Progress,
  ): DispatchResult | undefined {
    const {error} = answer;
    if (error === undefined) {
      return end(progress, answer);
    }
    progress.reason = error.name;
    if (error.name === 'readOnly') {
      group.positions.dismissLeader(link.target);
      void link.askStatus();
    }
    const mayRetry =
      RETRYABLE.has(error.name) || (error.name === 'failed' && !work.isWrite);
    if (mayRetry) {
      return undefined;
    }
    return end(progress, errorAnswer(error.name, 'idle'));
  }

  function end(progress: Progress, answer: StatementAnswer): DispatchResult {
    const {attempts, target, reason} = progress;
    return {answer, target, attempts, reason, pinned: undefined};
  }

  function refuse(progress: Progress, reason: string): DispatchResult {
    const retryAfter = Math.ceil(progress.retryAfter);
    const text = `${reason}; retry after ${retryAfter} ms`;
    progress.reason = reason;
    return end(progress, errorAnswer('busy', 'idle', text));
  }

  return {dispatch};
}

interface Place {
  readonly link: TargetLink;
  readonly after: LogPosition | undefined;
}

/** Statements of one database name and sort take about the same time. */
function kindOf({route, statement, isWrite}: Dispatch): string {
  const sort = isWrite
    ? 'write'
    : statement.kind === 'begin'
      ? 'begin'
      : 'read';
  return `${route.database} ${sort}`;
}
