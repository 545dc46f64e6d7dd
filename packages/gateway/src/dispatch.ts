/**
 * Runs statements at targets: selects a target, bounds the wait for one, and
 * retries or refuses the statement.
 */
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  mapFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {
  type StatementAnswer,
  type StatementErrorName,
  errorAnswer,
} from '@kelpstep/statements';
import type {
  PinnedStart,
  StatementOutcome,
  StatementWork,
  TargetGroup,
  TargetLink,
} from '@kelpstep/targets';

import {
  DEFAULT_RETRY_AFTER,
  type Dispatch,
  type DispatchResult,
  type Dispatcher,
  kindOf,
  refusalAnswer,
} from './dispatch_types';
import {type Place, type PlaceSearch, createPlaceFinder} from './select_target';
import {
  type Attempt,
  awaitWithSecond,
  createAttemptBudget,
} from './hedged_attempt';

/** Dependencies of a local dispatcher. */
export interface DispatcherOptions {
  readonly runtime: Runtime;
  group(name: string): TargetGroup | undefined;
  /** True while the group's primary is being replaced. */
  isChanging(group: string): boolean;
}

/** Runs statements over this proxy's own connections to targets. */
export interface LocalDispatcher extends Dispatcher {
  /**
   * Like `dispatch`, but undefined if the statement has certainly not run and a
   * peer may have a target for it. `mayTryPeers` tells whether a peer may be
   * tried.
   */
  dispatchUnless(
    work: Dispatch,
    mayAskElsewhere: () => boolean,
  ): Task<DispatchResult | undefined>;
  /** True if a target is expected to be available without waiting. */
  reaches(work: Dispatch): boolean;
  /** Samples the state of the group's primary; to be called on every tick. */
  notePrimary(group: TargetGroup): void;
}

/** Share of a statement's timeout for which it may wait for a target. */
const HOLD_SHARE = 0.85;
/** Limit of the attempts that are sent for one statement. */
const MAXIMUM_ATTEMPTS = 8;
/** Backoff after a target had no capacity. */
const RETRY_PAUSE: Milliseconds = 15;
/** Backoff after no connection to a target could be opened. */
const REOPEN_PAUSE: Milliseconds = 40;
/**
 * If a read is unanswered for this time, the answer is lost or the target is
 * slow, and another target is tried as well. Below the tightest latency
 * objective of callers, above the time that a target's own queue adds under
 * load.
 */
const SILENCE: Milliseconds = 280;
/** Hedge delay of slow statements, in multiples of their expected time. */
const SILENCE_FACTOR = 4;
/** Errors after which the same statement may be tried at another target. */
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

/** Creates a local dispatcher. */
export function createDispatcher(options: DispatcherOptions): LocalDispatcher {
  const {runtime, isChanging} = options;
  const {timer} = runtime;
  const places = createPlaceFinder({runtime, isChanging});
  const budget = createAttemptBudget();

  function workFor(
    work: Dispatch,
    after: LogPosition | undefined,
    onSent: () => void,
  ): StatementWork {
    const {id, route, statement, shape, settings} = work;
    const isBegin = statement.kind === 'begin';
    return {
      kind: kindOf(work),
      worth: 1 / (1 + route.priority),
      deadline: work.arrivedAt + route.timeout,
      user: work.account,
      settings,
      shape,
      request: {
        ...(isBegin ? {} : {id}),
        body: statement,
        ...(after === undefined ? {} : {after}),
      },
      isAbandoned: work.isAbandoned,
      onSent,
    };
  }

  function start(
    {link, after}: Place,
    work: Dispatch,
    onSent: () => void,
  ): Attempt {
    const targetWork = workFor(work, after, onSent);
    return work.statement.kind === 'begin'
      ? link.pin(targetWork)
      : mapFuture(link.run(targetWork), outcome => ({
          outcome,
          pinned: undefined,
        }));
  }

  /** Runs a statement; an unanswered read gets a second attempt. */
  function* run(
    search: PlaceSearch,
    place: Place,
    progress: Progress,
  ): Task<PinnedStart> {
    const {work} = search;
    let sentAt: Milliseconds | undefined;
    let hasEnded = false;
    // An attempt whose answer is no longer needed leaves its queue.
    const waited = {
      ...work,
      isAbandoned: () => hasEnded || work.isAbandoned(),
    };
    const first = start(place, waited, () => {
      sentAt = timer.now();
    });
    if (work.isWrite) {
      return yield* waitFor(first);
    }
    budget.earn();
    const expected = place.link.expectedTime(kindOf(work));
    const end = yield* awaitWithSecond({
      timer,
      first,
      sentAt: () => sentAt,
      patience: Math.max(SILENCE, SILENCE_FACTOR * expected),
      start() {
        progress.tried.set(place.link.target, timer.now());
        const other = places.another(search, place);
        if (other === undefined || !budget.spend()) {
          return undefined;
        }
        progress.attempts += 1;
        progress.reason = `second attempt at ${other.link.target}`;
        return start(other, waited, () => {});
      },
    });
    hasEnded = true;
    return end;
  }

  function* dispatchUnless(
    work: Dispatch,
    mayAskElsewhere: () => boolean,
  ): Task<DispatchResult | undefined> {
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
      // Unsent statements don't count as attempts; only the time bounds them.
      if (timer.now() >= until && progress.attempts === 0) {
        return refuse(progress, progress.reason || 'no target may run it');
      }
      const search = {
        group,
        work,
        until,
        triedAt: progress.tried,
        mayAskElsewhere,
      };
      const place = yield* places.find(search);
      if (place === 'elsewhere') {
        return undefined;
      }
      if (place === undefined || 'retryAfter' in place) {
        progress.retryAfter = place?.retryAfter ?? progress.retryAfter;
        return refuse(progress, progress.reason || 'no target may run it');
      }
      progress.target = place.link.target;
      const {outcome, pinned} = yield* run(search, place, progress);
      progress.attempts += outcome.kind === 'unreached' ? 0 : 1;
      const result = conclude(group, work, place.link, outcome, progress);
      if (result !== undefined) {
        return {...result, pinned};
      }
      yield* sleep(pauseAfter(outcome, progress));
    }
    return refuse(progress, progress.reason);
  }

  /** Waits for the list of targets, which may be missing after the start. */
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

  /** The result of an attempt; undefined to try again. */
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
    return {answer, target, attempts, reason, via: '', pinned: undefined};
  }

  function refuse(progress: Progress, reason: string): DispatchResult {
    progress.reason = reason;
    return end(progress, refusalAnswer(reason, progress.retryAfter));
  }

  function* dispatch(work: Dispatch): Task<DispatchResult> {
    const result = yield* dispatchUnless(work, () => false);
    // There always is a result if peers may not be tried.
    return result as DispatchResult;
  }

  return {
    dispatch,
    dispatchUnless,
    notePrimary: places.notePrimary,
    reaches(work) {
      const group = options.group(work.route.group);
      return group !== undefined && places.isExpected(group, work);
    },
  };
}
