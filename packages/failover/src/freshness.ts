/** Lower bounds for how recent the data of a log is. */
import {LogPosition, TermHistory, logContains} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** What rounds of questions showed about the primary's log over time. */
export interface Freshness {
  /** A round asked at a monotonic time found the primary's log at `end`. */
  record(askedAt: Milliseconds, end: LogPosition): void;
  /**
   * The latest known time T such that a log with this end and history holds
   * all that was confirmed at T.
   */
  freshAt(end: LogPosition, history: TermHistory): Milliseconds | undefined;
}

interface Observation {
  askedAt: Milliseconds;
  readonly end: LogPosition;
}

const MAXIMUM_OBSERVATIONS = 64;

/** Keeps every second of the older half, so that long lags stay covered. */
function thinOut(observations: readonly Observation[]): Observation[] {
  const half = observations.length / 2;
  return observations.filter(
    (unusedItem, index) => index >= half || index % 2 === 0,
  );
}

/** Creates the record of a group's rounds. */
export function createFreshness(): Freshness {
  let observations: Observation[] = [];

  function record(askedAt: Milliseconds, end: LogPosition): void {
    const last = observations.at(-1);
    if (last !== undefined && isSame(last.end, end)) {
      last.askedAt = Math.max(last.askedAt, askedAt);
      return;
    }
    if (last !== undefined && last.askedAt >= askedAt) {
      return;
    }
    observations.push({askedAt, end});
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
        return observation.askedAt;
      }
    }
    return undefined;
  }

  return {record, freshAt};
}

function isSame(left: LogPosition, right: LogPosition): boolean {
  return left.term === right.term && left.position === right.position;
}
