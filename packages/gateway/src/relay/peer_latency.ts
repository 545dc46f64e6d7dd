/**
 * Which of several proxies take much longer than the others, by what earlier
 * statements took and how long others have been waiting. Without input and output.
 *
 * Load pattern: a burst while an instance is slow. All that its data centre sends to
 * it would wait there, and be refused, though others have room.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Another proxy that statements may be handed to. */
export interface LoadedPeer {
  /** What takes about the same time at all of them. */
  readonly group: string;
  readonly proxy: string;
  /** Time of the way there and back. */
  readonly roundTrip: Milliseconds;
}

/** Expectations by group and peer. */
export interface PeerLoad {
  /** A statement is handed over; call the result when it has its answer. */
  begin(peer: LoadedPeer, now: Milliseconds): (now: Milliseconds) => void;
  /** True if it is expected to take much longer than its group does. */
  isSlow(peer: LoadedPeer, now: Milliseconds): boolean;
}

/** One statement that takes long, as some do everywhere, makes no slow peer. */
const WEIGHT = 0.2;
/** Of a group's average, which all of its peers have a part in. */
const GROUP_WEIGHT = 0.05;
/** A slow peer takes so many times what its group does, */
const SLOW_FACTOR = 2;
/** and so much more: the way to another region must be worth it. */
const SLOW_MARGIN: Milliseconds = 40;
/** Until a group has answered anything. */
const FIRST_GUESS: Milliseconds = 20;
/**
 * Measured so long ago, half of what a peer takes more or less than its group is
 * believed: one that was slow gets a statement now and then, and is used again once
 * it is fast.
 */
const HALF_LIFE: Milliseconds = 3000;

interface Load {
  /** Time beyond the way there and back. */
  average: Milliseconds | undefined;
  measuredAt: Milliseconds;
  /** When what is under way was handed over, oldest first. */
  readonly begun: Set<{readonly at: Milliseconds}>;
}

/** Creates expectations without any measurement. */
export function createPeerLoad(): PeerLoad {
  const loads = new Map<string, Load>();
  const groups = new Map<string, Milliseconds>();

  function loadOf({group, proxy}: LoadedPeer): Load {
    const key = `${group} ${proxy}`;
    const known = loads.get(key);
    if (known !== undefined) {
      return known;
    }
    const created: Load = {
      average: undefined,
      measuredAt: -Infinity,
      begun: new Set(),
    };
    loads.set(key, created);
    return created;
  }

  function groupAverage({group}: LoadedPeer): Milliseconds {
    return groups.get(group) ?? FIRST_GUESS;
  }

  function measure(peer: LoadedPeer, time: Milliseconds): void {
    const load = loadOf(peer);
    const common = groupAverage(peer);
    const before = load.average ?? common;
    load.average = before + WEIGHT * (time - before);
    groups.set(peer.group, common + GROUP_WEIGHT * (time - common));
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
        load.measuredAt = end;
        measure(peer, Math.max(0, end - work.at - peer.roundTrip));
      };
    },
    isSlow(peer, now) {
      const load = loadOf(peer);
      const common = groupAverage(peer);
      const belief = 0.5 ** ((now - load.measuredAt) / HALF_LIFE);
      const believed = common + ((load.average ?? common) - common) * belief;
      const expected = Math.max(believed, longestWait(load, now));
      return expected > SLOW_FACTOR * common + SLOW_MARGIN;
    },
  };
}
