/**
 * Decides where a statement runs, for how long it waits for a target that may
 * run it, what is tried again, and when it is refused.
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

/** What dispatch is made of. */
export interface DispatcherOptions {
  readonly runtime: Runtime;
  group(name: string): TargetGroup | undefined;
  /** True while the group's primary is being replaced. */
  isChanging(group: string): boolean;
}

/** Runs statements at targets that this proxy reaches itself. */
export interface LocalDispatcher extends Dispatcher {
  /**
   * The same, but undefined if the statement has certainly not run and another
   * proxy may know a place; `mayAskElsewhere` says whether one may be asked.
   */
  dispatchUnless(
    work: Dispatch,
    mayAskElsewhere: () => boolean,
  ): Task<DispatchResult | undefined>;
  /** True if a place is expected to be found without waiting. */
  reaches(work: Dispatch): boolean;
  /** Learns from the state of the group's primary; call it often. */
  notePrimary(group: TargetGroup): void;
}

/** Share of the timeout for which a statement may wait for a target. */
const HOLD_SHARE = 0.85;
/** Targets that a statement is tried at. */
const MAXIMUM_ATTEMPTS = 8;
/** Pause after a target had no room. */
const RETRY_PAUSE: Milliseconds = 15;
/** Pause after no connection to a target could be had. */
const REOPEN_PAUSE: Milliseconds = 40;
/**
 * A target that was sent a read and tells nothing for so long has lost the
 * answer, or is slow: another one is tried too. Below the tightest objective of
 * callers, above the time that a target's own queue adds under load.
 */
const SILENCE: Milliseconds = 280;
/** For statements that take long, in multiples of the expected time. */
const SILENCE_FACTOR = 4;
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

  /** What may run twice gets a second attempt if the first tells nothing. */
  function* run(
    search: PlaceSearch,
    place: Place,
    progress: Progress,
  ): Task<PinnedStart> {
    const {work} = search;
    let sentAt: Milliseconds | undefined;
    let hasEnded = false;
    // The attempt that isn't needed any more leaves its queue.
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
      // What was not sent is no attempt: it may wait until it is too late.
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
    return {answer, target, attempts, reason, via: '', pinned: undefined};
  }

  function refuse(progress: Progress, reason: string): DispatchResult {
    progress.reason = reason;
    return end(progress, refusalAnswer(reason, progress.retryAfter));
  }

  function* dispatch(work: Dispatch): Task<DispatchResult> {
    const result = yield* dispatchUnless(work, () => false);
    // Without leave to ask elsewhere there always is a result.
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
