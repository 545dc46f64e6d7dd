/**
 * Detects targets of a group that answer status probes but not statements, and
 * keeps reads from them until they have recovered. Does no input or output.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type AttemptSample,
  type AttemptSamples,
  COMPARABLE_AGE_MS,
  type SampleState,
  createAttemptSamples,
} from './attempt_samples';
import {
  type EjectionReason,
  findEjectionReason,
  slowFrom,
  typicalDuration,
} from './ejection_decision';
import {
  type ReadAdmission,
  type TargetReturn,
  type TrialResult,
  createTargetReturn,
} from './target_return';

/** Changes of the ejected targets; `count` is their number, on each change. */
export type OutlierEvent =
  | {
      readonly kind: 'ejected';
      readonly target: string;
      readonly reason: EjectionReason;
    }
  | {readonly kind: 'readmitted'; readonly target: string}
  | {readonly kind: 'count'; readonly count: number};

export interface OutlierDetectionOptions {
  now(): Milliseconds;
  /** All targets of the group. */
  targets(): readonly string[];
  /** True if a target is reachable and accepts new work. */
  mayRunReads(target: string): boolean;
  onEvent(event: OutlierEvent): void;
}

/** How an attempt ended, as far as it tells about the target. */
export type AttemptEnd = Exclude<SampleState, 'pending'>;

/** An attempt whose outcome is observed. */
export interface ObservedAttempt {
  /** The attempt is unanswered for its hedge delay; an answer withdraws this. */
  markUnanswered(): void;
  end(state: AttemptEnd): void;
}

/** A trial read, which fails unless it succeeds within `answerTime`. */
export interface Trial {
  readonly answerTime: Milliseconds;
  /** Only the first call has an effect. */
  end(result: TrialResult): void;
}

/** Outlier detection of one group. */
export interface OutlierDetection {
  admission(target: string): ReadAdmission;
  /** See `TargetReturn.takesShare`. */
  takesShare(target: string): boolean;
  /** Records an attempt that is sent now. */
  observe(target: string, kind: string): ObservedAttempt;
  startTrial(target: string, kind: string): Trial;
  /** To be called every `TICK_PERIOD_MS`. */
  tick(): void;
  /** Drops all samples, as after a suspension of the process. */
  dropSamples(): void;
  /** Forgets a target that was removed or restarted. */
  forget(target: string): void;
  /** Ends the detection; reports that no target is ejected. */
  close(): void;
}

/** Maximum hedge delay of a trial read. */
export const TRIAL_HEDGE_DELAY_MS: Milliseconds = 60;
/**
 * Time without a tick after which the process counts as suspended, in which it
 * read no answers. Ticks are 100 ms apart, and hedge delays at least 280 ms.
 */
const SUSPENSION_TIME_MS: Milliseconds = 250;

interface ObservedTarget {
  samples: AttemptSamples;
  readonly recovery: TargetReturn;
  trial: Trial | undefined;
  /** Reason of the last ejection; failed trials prolong it. */
  reason: EjectionReason;
}

/** Creates a detection without samples. */
export function createOutlierDetection(
  options: OutlierDetectionOptions,
): OutlierDetection {
  const {now, onEvent} = options;
  const observed = new Map<string, ObservedTarget>();
  let lastTickAt = now();
  let reportedCount = 0;

  function stateOf(target: string): ObservedTarget {
    const known = observed.get(target);
    if (known !== undefined) {
      return known;
    }
    const created: ObservedTarget = {
      samples: createAttemptSamples(),
      recovery: createTargetReturn(),
      trial: undefined,
      reason: 'unanswered',
    };
    observed.set(target, created);
    return created;
  }

  function isOut(target: string): boolean {
    return observed.get(target)?.recovery.isOut() ?? false;
  }

  function reportCount(): void {
    const count = [...observed.keys()].filter(isOut).length;
    if (count !== reportedCount) {
      reportedCount = count;
      onEvent({kind: 'count', count});
    }
  }

  function dropSamples(): void {
    for (const state of observed.values()) {
      state.samples = createAttemptSamples();
      state.trial?.end('none');
    }
  }

  /** True, after dropping all samples, if the process was suspended. */
  function wasSuspended(): boolean {
    const isLate = now() - lastTickAt > SUSPENSION_TIME_MS;
    if (isLate) {
      lastTickAt = now();
      dropSamples();
    }
    return isLate;
  }

  function samplesOfOthers(target: string): AttemptSample[] {
    return [...observed]
      .filter(([name]) => name !== target && !isOut(name))
      .flatMap(([, {samples}]) => samples.comparable(now()));
  }

  /** True unless too many or all other targets are ejected. */
  function mayEject(target: string): boolean {
    const targets = options.targets();
    const others = targets.filter(name => name !== target);
    const remaining = others.filter(
      name => !isOut(name) && options.mayRunReads(name),
    );
    const limit = Math.floor((targets.length - 1) / 2);
    return remaining.length > 0 && others.filter(isOut).length < limit;
  }

  function eject(
    target: string,
    state: ObservedTarget,
    reason: EjectionReason,
  ): void {
    state.recovery.eject(now());
    state.reason = reason;
    reportCount();
    onEvent({kind: 'ejected', target, reason});
  }

  function evaluate(target: string): void {
    const state = observed.get(target);
    if (state === undefined || isOut(target) || !mayEject(target)) {
      return;
    }
    const {samples} = state;
    const reason = findEjectionReason({
      own: samples.comparable(now()),
      others: samplesOfOthers(target),
      lastAnsweredSentAt: samples.lastAnsweredSentAt(),
    });
    if (reason !== undefined) {
      eject(target, state, reason);
    }
  }

  function observe(target: string, kind: string): ObservedAttempt {
    const setState = stateOf(target).samples.add(kind, now());
    function update(state: AttemptEnd): void {
      const isFailure = state === 'unanswered' || state === 'failing';
      setState(state, now());
      if (!wasSuspended() && isFailure) {
        evaluate(target);
      }
    }
    return {markUnanswered: () => update('unanswered'), end: update};
  }

  function startTrial(target: string, kind: string): Trial {
    const state = stateOf(target);
    const typical = typicalDuration(samplesOfOthers(target), kind);
    const trial: Trial = {
      answerTime:
        typical === undefined
          ? COMPARABLE_AGE_MS
          : Math.max(TRIAL_HEDGE_DELAY_MS, slowFrom(typical)),
      end(result) {
        // The target may have been removed or restarted meanwhile.
        if (state.trial === trial && observed.get(target) === state) {
          state.trial = undefined;
          endTrial(target, state, result);
        }
      },
    };
    state.recovery.startTrial();
    state.trial = trial;
    return trial;
  }

  function endTrial(
    target: string,
    state: ObservedTarget,
    result: TrialResult,
  ): void {
    const change = state.recovery.endTrial(result, now());
    if (change === 'ejected') {
      onEvent({kind: 'ejected', target, reason: state.reason});
    } else if (change === 'returned') {
      // Attempts from before and during the ejection no longer count.
      state.samples = createAttemptSamples();
      reportCount();
      onEvent({kind: 'readmitted', target});
    }
  }

  return {
    admission: target =>
      observed.get(target)?.recovery.admission(now()) ?? 'all',
    takesShare: target => stateOf(target).recovery.takesShare(now()),
    observe,
    startTrial,
    tick() {
      wasSuspended();
      lastTickAt = now();
      for (const target of options.targets()) {
        evaluate(target);
        stateOf(target).samples.prune(now());
      }
    },
    dropSamples,
    forget(target) {
      observed.delete(target);
      reportCount();
    },
    close() {
      observed.clear();
      reportCount();
    },
  };
}
