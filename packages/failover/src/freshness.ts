/** Computes an upper bound for the age of the data in a log. */
import {LogPosition, TermHistory, logContains} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** The ends of the primary's log that rounds have observed over time. */
export interface Freshness {
  /** Records that a round with probes sent at `probedAt` observed `end`. */
  record(probedAt: Milliseconds, end: LogPosition): void;
  /**
   * The latest known monotonic time T such that a log with this end and
   * history holds every record confirmed at T; `undefined` if none is known.
   */
  freshAt(end: LogPosition, history: TermHistory): Milliseconds | undefined;
}

interface Observation {
  probedAt: Milliseconds;
  readonly end: LogPosition;
}

const MAXIMUM_OBSERVATIONS = 64;

/**
 * Drops every second observation of the older half. Old observations become
 * sparse but remain available for replicas that lag far behind.
 */
function thinOut(observations: readonly Observation[]): Observation[] {
  const half = observations.length / 2;
  return observations.filter(
    (unusedItem, index) => index >= half || index % 2 === 0,
  );
}

/** Creates an empty list of observations; it keeps at most 64. */
export function createFreshness(): Freshness {
  let observations: Observation[] = [];

  function record(probedAt: Milliseconds, end: LogPosition): void {
    const last = observations.at(-1);
    if (last !== undefined && isSame(last.end, end)) {
      last.probedAt = Math.max(last.probedAt, probedAt);
      return;
    }
    if (last !== undefined && last.probedAt >= probedAt) {
      return;
    }
    observations.push({probedAt, end});
    if (observations.length > MAXIMUM_OBSERVATIONS) {
      observations = thinOut(observations);
    }
  }

  function freshAt(
    end: LogPosition,
    history: TermHistory,
  ): Milliseconds | undefined {
    for (let index = observations.length - 1; index >= 0; index--) {
      const observation = observations[index];
      if (
        observation !== undefined &&
        logContains(history, end, observation.end)
      ) {
        return observation.probedAt;
      }
    }
    return undefined;
  }

  return {record, freshAt};
}

function isSame(left: LogPosition, right: LogPosition): boolean {
  return left.term === right.term && left.position === right.position;
}
