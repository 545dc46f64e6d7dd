/** Remembers which targets a group has lost. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** A target that was removed from its group, with what was last known of it. */
export interface DepartedTarget {
  readonly target: string;
  readonly startedAt: Milliseconds;
  readonly reason: 'gone' | 'restarted';
  /** True if its process is known to have ended. */
  readonly hasEnded: boolean;
  /** Monotonic time. */
  readonly removedAt: Milliseconds;
  /** Monotonic time since which its registration was missing, if it was. */
  readonly missingSince: Milliseconds | undefined;
  readonly logEnd: LogPosition | undefined;
}

export interface DepartedTargets {
  record(departed: Omit<DepartedTarget, 'removedAt'>): void;
  /** The targets that were removed in the last 10 s, for logs. */
  recent(): readonly DepartedTarget[];
  /** The removal of a target with this start; undefined if it is not known. */
  find(target: string, startedAt: Milliseconds): DepartedTarget | undefined;
}

const RECENT_MS: Milliseconds = 10_000;
const MAXIMUM_COUNT = 64;

/** Creates an empty memory; `now` returns the monotonic time. */
export function createDepartedTargets(
  now: () => Milliseconds,
): DepartedTargets {
  let departures: readonly DepartedTarget[] = [];

  return {
    record(departed) {
      departures = [...departures, {...departed, removedAt: now()}].slice(
        -MAXIMUM_COUNT,
      );
    },
    recent: () =>
      departures.filter(({removedAt}) => removedAt >= now() - RECENT_MS),
    find: (target, startedAt) =>
      departures.find(
        departed =>
          departed.target === target && departed.startedAt === startedAt,
      ),
  };
}
