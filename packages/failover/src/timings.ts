/** Times and limits of confirmation, failure detection and promotion. */
import type {Milliseconds} from '@kelpstep/runtime';

/** All times are in milliseconds. */
export interface FailoverTimings {
  /** Interval at which an idle target repeats its status on a stream. */
  readonly heartbeat: Milliseconds;
  /** Time without messages on a stream before a new connection is tried. */
  readonly streamTimeout: Milliseconds;
  /** Time for a new connection to be set up and to return a status. */
  readonly connectionTimeout: Milliseconds;
  /** Backoff after the first failed connection; doubles up to the limit. */
  readonly reconnectDelay: Milliseconds;
  readonly reconnectDelayLimit: Milliseconds;
  /** Time for the answer to any request to a member. */
  readonly requestTimeout: Milliseconds;
  /** Time without use after which a group's streams are closed. */
  readonly idleTimeout: Milliseconds;

  /** Interval of the rounds that update the bounds of replicas' ages. */
  readonly roundInterval: Milliseconds;
  /** Shortest time between the starts of two rounds. */
  readonly minimumRoundInterval: Milliseconds;
  /** Backoff after a failed round. */
  readonly roundBackoff: Milliseconds;

  /** Interval at which a failure detector checks its group unprompted. */
  readonly monitorInterval: Milliseconds;
  /** Delay per rank, so that failure detectors rarely act concurrently. */
  readonly rankDelay: Milliseconds;
  /**
   * Age of the primary's last message up to which a replica counts as in
   * contact with it.
   */
  readonly primaryHeartbeatLimit: Milliseconds;
  /**
   * Time for which a primary that only this proxy can't reach is not replaced
   * while its replicas are in contact with it.
   */
  readonly pathPartitionLimit: Milliseconds;
  /**
   * Time without messages from the primary after which a replica counts as
   * disconnected from it.
   */
  readonly isolationLimit: Milliseconds;
  /** Time for a replica, once reachable again, to reconnect to its primary. */
  readonly rejoinLimit: Milliseconds;
  /** Time without a primary after which one is promoted. */
  readonly leaderlessTimeout: Milliseconds;
  /**
   * Time after which a member at a higher term than the primary causes a
   * promotion.
   */
  readonly splitTermTimeout: Milliseconds;
  /** Time after which an interrupted bootstrap is completed by a promotion. */
  readonly unconfirmedTimeout: Milliseconds;
  /** Mean backoff after a failed promotion. */
  readonly promotionBackoff: Milliseconds;
  /** Time for a promotion's barrier to reach a majority. */
  readonly barrierTimeout: Milliseconds;
  /** Shortest time between follow requests to a member, or reconfigurations. */
  readonly followInterval: Milliseconds;

  /**
   * Time for a successor to catch up before a switch-over, and the delay per
   * rank of the switch-over from a leaving primary.
   */
  readonly catchUpTimeout: Milliseconds;
  /** Number of records that a caught-up member may be missing. */
  readonly catchUpRecords: number;
  /** Longest pause of writes during a switch-over. */
  readonly writePause: Milliseconds;
  /** Time for a successor to reach the end of the paused primary's log. */
  readonly successorTimeout: Milliseconds;
  /** Backoff after a failed switch-over. */
  readonly switchOverBackoff: Milliseconds;
}

/** Defaults, for groups whose members have a latency of a few milliseconds. */
export const DEFAULT_FAILOVER_TIMINGS: FailoverTimings = {
  heartbeat: 100,
  streamTimeout: 350,
  connectionTimeout: 250,
  reconnectDelay: 50,
  reconnectDelayLimit: 250,
  requestTimeout: 250,
  idleTimeout: 10_000,

  roundInterval: 150,
  minimumRoundInterval: 5,
  roundBackoff: 25,

  monitorInterval: 100,
  rankDelay: 400,
  primaryHeartbeatLimit: 300,
  pathPartitionLimit: 600,
  isolationLimit: 900,
  rejoinLimit: 1_500,
  leaderlessTimeout: 300,
  splitTermTimeout: 500,
  unconfirmedTimeout: 2_000,
  promotionBackoff: 200,
  barrierTimeout: 1_500,
  followInterval: 200,

  catchUpTimeout: 5_000,
  catchUpRecords: 100,
  writePause: 600,
  successorTimeout: 250,
  switchOverBackoff: 1_000,
};
