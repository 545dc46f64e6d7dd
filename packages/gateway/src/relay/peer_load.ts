/**
 * Which of several proxies is expected to answer a statement first, by what earlier
 * ones took and how long others have been waiting. Without input and output.
 *
 * Load pattern: a burst while an instance is slow. All that its data centre sends to
 * it would wait there, and be refused, though others have room.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Expectations by peer. */
export interface PeerLoad {
  /** A statement is handed over; call the result when it has its answer. */
  begin(peer: string, now: Milliseconds): (now: Milliseconds) => void;
  /** Time to the answer of one more; `guess` before any was measured. */
  expected(peer: string, guess: Milliseconds, now: Milliseconds): Milliseconds;
}

const WEIGHT = 0.15;
/**
 * Measured so long ago, half of a time is believed: a peer that was slow gets a
 * statement now and then, and is used again once it is fast.
 */
const HALF_LIFE: Milliseconds = 3000;

interface Load {
  average: Milliseconds | undefined;
  measuredAt: Milliseconds;
  /** When what is under way was handed over, oldest first. */
  readonly begun: Set<{readonly at: Milliseconds}>;
}

/** Creates expectations without any measurement. */
export function createPeerLoad(): PeerLoad {
  const loads = new Map<string, Load>();

  function loadOf(peer: string): Load {
    const known = loads.get(peer);
    if (known !== undefined) {
      return known;
    }
    const created: Load = {
      average: undefined,
      measuredAt: -Infinity,
      begun: new Set(),
    };
    loads.set(peer, created);
    return created;
  }

  function measure(load: Load, time: Milliseconds, now: Milliseconds): void {
    const before = load.average ?? time;
    load.average = before + WEIGHT * (time - before);
    load.measuredAt = now;
  }

  /** A peer that doesn't answer at all shows by what waits for it. */
  function longestWait({begun}: Load, now: Milliseconds): Milliseconds {
    const [oldest] = begun;
    return oldest === undefined ? 0 : now - oldest.at;
  }

  return {
    begin(peer, now) {
      const load = loadOf(peer);
      const work = {at: now};
      load.begun.add(work);
      return end => {
        load.begun.delete(work);
        measure(load, end - work.at, end);
      };
    },
    expected(peer, guess, now) {
      const load = loadOf(peer);
      const belief = 0.5 ** ((now - load.measuredAt) / HALF_LIFE);
      const beyondGuess = (load.average ?? guess) - guess;
      const believed = guess + beyondGuess * belief;
      return Math.max(believed, longestWait(load, now));
    },
  };
}
