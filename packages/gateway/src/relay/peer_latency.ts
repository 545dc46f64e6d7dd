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
export interface MeasuredPeer {
  /** Workload that takes about the same time at all of its peers. */
  readonly group: string;
  readonly proxy: string;
  /** Network round trip to the peer. */
  readonly roundTrip: Milliseconds;
}

/** Expected latencies by workload and peer, which show slow peers. */
export interface PeerLatencyTracker {
  /**
   * Records that a statement is sent. The returned function is to be called
   * when it is answered.
   */
  begin(peer: MeasuredPeer, now: Milliseconds): (now: Milliseconds) => void;
  /**
   * True if the peer is expected to take much longer than the average of its
   * workload.
   */
  isSlow(peer: MeasuredPeer, now: Milliseconds): boolean;
}

/**
 * Weight of a new time in a peer's average. It is low, because one slow
 * statement, as any peer may have, must not make a peer slow.
 */
const PEER_WEIGHT = 0.2;
/**
 * Weight of a new time in a workload's average, to which all of its peers
 * contribute.
 */
const WORKLOAD_WEIGHT = 0.05;
/**
 * A peer is slow if it is expected to take longer than this multiple of its
 * workload's average plus `SLOW_MARGIN_MS`.
 */
const SLOW_FACTOR = 2;
/**
 * Margin for the longer round trip if a peer in another region is used instead.
 */
const SLOW_MARGIN_MS: Milliseconds = 40;
/** Average of a workload before its first answer. */
const INITIAL_AVERAGE_MS: Milliseconds = 20;
/**
 * Half-life of a peer's deviation from its workload's average since its last
 * answer: a peer that was slow gets a statement occasionally, and is used again
 * once it is fast.
 */
const HALF_LIFE_MS: Milliseconds = 3000;

interface PeerLatency {
  /** Average time beyond the network round trip; undefined before an answer. */
  average: Milliseconds | undefined;
  measuredAt: Milliseconds;
  /** Send times of unanswered statements, oldest first. */
  readonly inFlight: Set<{readonly at: Milliseconds}>;
}

/** Creates a tracker without measurements. */
export function createPeerLatencyTracker(): PeerLatencyTracker {
  const latencies = new Map<string, PeerLatency>();
  const workloadAverages = new Map<string, Milliseconds>();

  function latencyOf({group, proxy}: MeasuredPeer): PeerLatency {
    const key = `${group} ${proxy}`;
    const known = latencies.get(key);
    if (known !== undefined) {
      return known;
    }
    const created: PeerLatency = {
      average: undefined,
      measuredAt: -Infinity,
      inFlight: new Set(),
    };
    latencies.set(key, created);
    return created;
  }

  function workloadAverage({group}: MeasuredPeer): Milliseconds {
    return workloadAverages.get(group) ?? INITIAL_AVERAGE_MS;
  }

  function measure(peer: MeasuredPeer, time: Milliseconds): void {
    const latency = latencyOf(peer);
    const baseline = workloadAverage(peer);
    const previous = latency.average ?? baseline;
    latency.average = previous + PEER_WEIGHT * (time - previous);
    workloadAverages.set(
      peer.group,
      baseline + WORKLOAD_WEIGHT * (time - baseline),
    );
  }

  /**
   * Time since the oldest unanswered statement was sent, which detects an
   * unresponsive peer; 0 if there is none.
   */
  function longestWait(
    {inFlight}: PeerLatency,
    now: Milliseconds,
  ): Milliseconds {
    const [oldest] = inFlight;
    return oldest === undefined ? 0 : now - oldest.at;
  }

  return {
    begin(peer, now) {
      const latency = latencyOf(peer);
      const entry = {at: now};
      latency.inFlight.add(entry);
      return end => {
        latency.inFlight.delete(entry);
        latency.measuredAt = end;
        measure(peer, Math.max(0, end - entry.at - peer.roundTrip));
      };
    },
    isSlow(peer, now) {
      const latency = latencyOf(peer);
      const baseline = workloadAverage(peer);
      const confidence = 0.5 ** ((now - latency.measuredAt) / HALF_LIFE_MS);
      const estimate =
        baseline + ((latency.average ?? baseline) - baseline) * confidence;
      const expected = Math.max(estimate, longestWait(latency, now));
      return expected > SLOW_FACTOR * baseline + SLOW_MARGIN_MS;
    },
  };
}
