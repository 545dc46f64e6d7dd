/**
 * Finds peers that take much longer than others, from the times of earlier
 * statements and the waits of unanswered ones. Does no input or output.
 *
 * This matters in a burst while an instance is slow: all statements that its
 * data centre sends to it would wait there and be refused, though other
 * instances have capacity.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** A peer that statements may be sent to. */
export interface LoadedPeer {
  /** Workload that takes about the same time at all of its peers. */
  readonly group: string;
  readonly proxy: string;
  /** Network round trip to the peer. */
  readonly roundTrip: Milliseconds;
}

/** Expected latencies by workload and peer. */
export interface PeerLoad {
  /** Records that a statement is sent; call the result when it is answered. */
  begin(peer: LoadedPeer, now: Milliseconds): (now: Milliseconds) => void;
  /** True if the peer is expected to take much longer than its workload. */
  isSlow(peer: LoadedPeer, now: Milliseconds): boolean;
}

/**
 * Weight of a new time in a peer's average: one slow statement, as any peer may
 * have, doesn't make a peer slow.
 */
const WEIGHT = 0.2;
/** Weight in a workload's average, to which all of its peers contribute. */
const GROUP_WEIGHT = 0.05;
/** A slow peer takes longer than its workload's average by this factor, */
const SLOW_FACTOR = 2;
/** and by this margin on top, so that the way to another region is worth it. */
const SLOW_MARGIN: Milliseconds = 40;
/** Average of a workload before its first answer. */
const FIRST_GUESS: Milliseconds = 20;
/**
 * Half-life of a peer's deviation from its workload's average since its last
 * answer: a peer that was slow gets a statement occasionally, and is used again
 * once it is fast.
 */
const HALF_LIFE: Milliseconds = 3000;

interface Load {
  /** Average time beyond the network round trip. */
  average: Milliseconds | undefined;
  measuredAt: Milliseconds;
  /** Send times of unanswered statements, oldest first. */
  readonly begun: Set<{readonly at: Milliseconds}>;
}

/** Creates a tracker without measurements. */
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

  /** Detects a peer that doesn't answer at all. */
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
