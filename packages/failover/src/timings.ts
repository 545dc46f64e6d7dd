/** Times of confirmation, failure detection and promotion. */
import type {Milliseconds} from '@kelpstep/runtime';

/** All times in milliseconds. */
export interface FailoverTimings {
  /** Period at which an idle target repeats its status. */
  readonly heartbeat: Milliseconds;
  /** Silence of a stream after which a fresh connection is tried. */
  readonly silenceLimit: Milliseconds;
  /** Time for a fresh connection to be set up and to answer. */
  readonly freshConnectionTimeout: Milliseconds;
  /** Pause before the first reconnection; doubles up to the limit below. */
  readonly reconnectDelay: Milliseconds;
  readonly reconnectDelayLimit: Milliseconds;
  /** Time for an answer to status, fence, promote, follow and pause. */
  readonly requestTimeout: Milliseconds;
  /** Streams of a group close when it was unused for so long. */
  readonly idleTime: Milliseconds;

  /** Period of rounds that keep the bounds of replicas' ages young. */
  readonly roundPeriod: Milliseconds;
  /** Least time between the starts of two rounds. */
  readonly roundSpacing: Milliseconds;
  /** Pause after a round that failed. */
  readonly roundRetry: Milliseconds;

  /** Period at which a watcher looks at its group without other cause. */
  readonly watchPeriod: Milliseconds;
  /** Additional delay of a watcher per rank, so that watchers seldom duel. */
  readonly rankDelay: Milliseconds;
  /** A replica hears its primary if the last message is not older. */
  readonly primaryHeardWithin: Milliseconds;
  /** How long a primary that its replicas hear is left alone. */
  readonly pathCutLimit: Milliseconds;
  /** Silence towards replicas that makes a reachable primary isolated. */
  readonly isolationLimit: Milliseconds;
  /** Time for a replica that was out of reach to hear its primary again. */
  readonly reunionLimit: Milliseconds;
  /** How long a group without primary is left to another watcher. */
  readonly leaderlessPatience: Milliseconds;
  /** How long a member may be of a higher term than its primary. */
  readonly splitTermPatience: Milliseconds;
  /** How long a barrier may lack its majority. */
  readonly unconfirmedPatience: Milliseconds;
  /** Mean pause after a promotion that did not succeed. */
  readonly promotionBackoff: Milliseconds;
  /** Time for a barrier to reach a majority. */
  readonly barrierTimeout: Milliseconds;
  /** Least time between two orders to follow, per member. */
  readonly followSpacing: Milliseconds;

  /** Time for an operator's switch-over to find a successor close enough. */
  readonly catchUpLimit: Milliseconds;
  /** Records that a successor may lack when writes are paused. */
  readonly catchUpRecords: number;
  /** How long writes are paused at most during a switch-over. */
  readonly writePause: Milliseconds;
  /** Time for a successor to reach the paused primary's end. */
  readonly successorWait: Milliseconds;
  /** Pause after a switch-over that did not succeed. */
  readonly switchOverRetry: Milliseconds;
}

/** Times for groups whose members are some milliseconds apart. */
export const DEFAULT_FAILOVER_TIMINGS: FailoverTimings = {
  heartbeat: 100,
  silenceLimit: 350,
  freshConnectionTimeout: 250,
  reconnectDelay: 50,
  reconnectDelayLimit: 250,
  requestTimeout: 250,
  idleTime: 10_000,

  roundPeriod: 150,
  roundSpacing: 5,
  roundRetry: 25,

  watchPeriod: 100,
  rankDelay: 400,
  primaryHeardWithin: 300,
  pathCutLimit: 600,
  isolationLimit: 900,
  reunionLimit: 1_500,
  leaderlessPatience: 300,
  splitTermPatience: 500,
  unconfirmedPatience: 2_000,
  promotionBackoff: 200,
  barrierTimeout: 1_500,
  followSpacing: 200,

  catchUpLimit: 5_000,
  catchUpRecords: 100,
  writePause: 600,
  successorWait: 250,
  switchOverRetry: 1_000,
};
