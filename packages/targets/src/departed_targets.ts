/** Remembers for some time which targets a group has lost, for its logs. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** A target that was removed from its group, with what was last known of it. */
export interface DepartedTarget {
  readonly target: string;
  readonly reason: 'gone' | 'restarted';
  /** Monotonic time. */
  readonly removedAt: Milliseconds;
  /** Monotonic time since which its registration was missing, if it was. */
  readonly missingSince: Milliseconds | undefined;
  readonly logEnd: LogPosition | undefined;
}

export interface DepartedTargets {
  record(departed: Omit<DepartedTarget, 'removedAt'>): void;
  /** The targets that were removed within the retention time. */
  recent(): readonly DepartedTarget[];
}

const RETENTION_MS: Milliseconds = 10_000;

/** Creates an empty memory; `now` returns the monotonic time. */
export function createDepartedTargets(
  now: () => Milliseconds,
): DepartedTargets {
  let departures: readonly DepartedTarget[] = [];

  function recent(): readonly DepartedTarget[] {
    const oldest = now() - RETENTION_MS;
    departures = departures.filter(({removedAt}) => removedAt >= oldest);
    return departures;
  }

  return {
    record(departed) {
      departures = [...recent(), {...departed, removedAt: now()}];
    },
    recent,
  };
}
