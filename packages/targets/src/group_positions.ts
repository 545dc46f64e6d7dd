/**
 * Proves how fresh a log position is. A sample (position, coveredAt) states
 * that the position covers every commit acknowledged before `coveredAt`.
 *
 * Proof: the primary of term t was probed at or after `coveredAt` and its log
 * ended at the position, which therefore covers the commits of all terms up to
 * t. A commit of a later term needs a primary of that term and, with
 * synchronous replicas, a replica that received it. All other targets were
 * probed at or after `coveredAt` as well, and none showed a later term. If
 * commits need such a replica, one target may be unresponsive: the later
 * primary or its replica is then among the targets that answered. In this case
 * the targets are probed for the log that they received, not only for the log
 * that they applied.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {TargetStatus} from '@kelpstep/statements';
import type {Milliseconds} from '@kelpstep/runtime';

import {type CopyState, createCopyTracker} from './copy_tracker';

/** A position that covers all commits acknowledged before a time. */
export interface PositionSample {
  readonly position: LogPosition;
  /** Monotonic time. */
  readonly coveredAt: Milliseconds;
}

/** Last known end of a target's log. */
export interface TargetLog {
  /** Monotonic time when the request answered with `position` was sent. */
  readonly requestedAt: Milliseconds;
  readonly position: LogPosition;
}

interface KnownStatus {
  readonly requestedAt: Milliseconds;
  readonly status: TargetStatus;
}

/** A target that reported the primary role, and its term. */
export interface Leadership {
  readonly target: string;
  readonly term: number;
}

/** A commit that a primary acknowledged to this proxy. */
export interface AcknowledgedCommit {
  /** Term in which the primary led. */
  readonly term: number;
  /** The commit's position is above this one. */
  readonly after: LogPosition;
}

/** Log positions of a group's targets, its leader, and the samples. */
export interface GroupPositions {
  /** Sets the group's targets and how many replicas must receive a commit. */
  setTargets(targets: readonly string[], synchronousReplicas: number): void;
  recordPosition(
    target: string,
    requestedAt: Milliseconds,
    position: LogPosition,
  ): void;
  recordStatus(
    target: string,
    requestedAt: Milliseconds,
    status: TargetStatus,
  ): void;
  /** Records that the target acknowledged a commit above `after`. */
  recordCommit(target: string, after: LogPosition): void;
  /** The acknowledged commit with the highest known bound. */
  newestCommit(): AcknowledgedCommit | undefined;
  /**
   * Whether a replica is known to have received what the primary's log held
   * after a target left or lost its log: the target may have had the only copy
   * of an acknowledged commit besides the primary's.
   */
  copies(): CopyState;
  /** Discards the state of a target that was removed or restarted. */
  discard(target: string): void;
  /**
   * Discards all positions, statuses and samples after a process suspension.
   */
  discardAll(): void;
  logOf(target: string): TargetLog | undefined;
  /** End of the log that the target last reported to have received. */
  receivedEnd(target: string): LogPosition | undefined;
  /**
   * Clears the leader if it is this target. To be called when the target
   * reported another role.
   */
  dismissLeader(target: string): void;
  /** The newest known leadership; it may have ended. */
  leader(): Leadership | undefined;
  /** `coveredAt` of the newest sample; `-Infinity` without one. */
  coveredAt(): Milliseconds;
  /**
   * The lowest retained position that covers all commits before a time;
   * undefined if no sample is that new.
   */
  lowestCovering(time: Milliseconds): LogPosition | undefined;
}

/**
 * Time for which samples are retained; staleness bounds of routes are a few
 * seconds at most.
 */
const SAMPLE_RETENTION_MS: Milliseconds = 4000;
/** Minimum distance of retained samples, which bounds their number. */
const SAMPLE_INTERVAL_MS: Milliseconds = 50;

/**
 * Creates the positions of a group that has no targets yet; `now` returns the
 * monotonic time.
 */
export function createGroupPositions(now: () => Milliseconds): GroupPositions {
  const logs = new Map<string, TargetLog>();
  const statuses = new Map<string, KnownStatus>();
  let targets: readonly string[] = [];
  let synchronousReplicas = 0;
  let leadership: Leadership | undefined;
  let samples: PositionSample[] = [];
  let newestCommit: AcknowledgedCommit | undefined;
  const copies = createCopyTracker(now);

  /**
   * Monotonic time when the target was last known to have applied nothing above
   * a term; `-Infinity` if it is not known.
   */
  function noLaterTermAppliedAt(target: string, term: number): Milliseconds {
    const log = logs.get(target);
    const hasNoLaterTerm = log !== undefined && log.position.term <= term;
    return hasNoLaterTerm ? log.requestedAt : -Infinity;
  }

  /**
   * Monotonic time when the target was last known to have received nothing
   * above a term; `-Infinity` if it is not known.
   */
  function noLaterTermReceivedAt(target: string, term: number): Milliseconds {
    const known = statuses.get(target);
    const hasNoLaterTerm =
      known !== undefined &&
      known.status.received.term <= term &&
      known.status.term <= term;
    return hasNoLaterTerm ? known.requestedAt : -Infinity;
  }

  function coverageByAllTargets(leader: Leadership): Milliseconds {
    const times = targets.map(target =>
      noLaterTermAppliedAt(target, leader.term),
    );
    return Math.min(...times);
  }

  function coverageWithOneUnresponsive(leader: Leadership): Milliseconds {
    const others = targets.filter(target => target !== leader.target);
    if (synchronousReplicas < 1 || others.length < 2) {
      return -Infinity;
    }
    const times = others
      .map(target => noLaterTermReceivedAt(target, leader.term))
      .sort((left, right) => left - right);
    const allButOne = times[1] ?? -Infinity;
    return Math.min(
      noLaterTermReceivedAt(leader.target, leader.term),
      allButOne,
    );
  }

  function newestSample(): PositionSample | undefined {
    const log = leadership && logs.get(leadership.target);
    if (leadership === undefined || log === undefined) {
      return undefined;
    }
    if (log.position.term > leadership.term) {
      return undefined;
    }
    const coverage = Math.max(
      coverageByAllTargets(leadership),
      coverageWithOneUnresponsive(leadership),
    );
    const coveredAt = Math.min(log.requestedAt, coverage);
    return coveredAt === -Infinity
      ? undefined
      : {position: log.position, coveredAt};
  }

  function storeSample(): void {
    const sample = newestSample();
    const last = samples[samples.length - 1];
    if (sample === undefined) {
      return;
    }
    if (
      last !== undefined &&
      sample.coveredAt - last.coveredAt < SAMPLE_INTERVAL_MS
    ) {
      return;
    }
    const oldest = sample.coveredAt - SAMPLE_RETENTION_MS;
    samples = samples.filter(({coveredAt}) => coveredAt > oldest);
    samples.push(sample);
  }

  /**
   * True if the target is the leader and has lost its log, which is the case if
   * the log ends earlier than before.
   */
  function hasLostLog(target: string, position: LogPosition): boolean {
    const known = logs.get(target);
    return (
      leadership?.target === target &&
      known !== undefined &&
      compareLogPositions(position, known.position) < 0
    );
  }

  function recordPosition(
    target: string,
    requestedAt: Milliseconds,
    position: LogPosition,
  ): void {
    const known = logs.get(target);
    if (known !== undefined && known.requestedAt > requestedAt) {
      return;
    }
    if (hasLostLog(target, position)) {
      leadership = undefined;
    }
    logs.set(target, {requestedAt, position});
    copies.recordLogEnd({target, requestedAt, end: position}, leadership);
    storeSample();
  }

  function recordCommit(target: string, after: LogPosition): void {
    if (leadership?.target !== target) {
      return;
    }
    const {term} = leadership;
    const isNewer =
      newestCommit === undefined ||
      term > newestCommit.term ||
      (term === newestCommit.term &&
        compareLogPositions(after, newestCommit.after) > 0);
    newestCommit = isNewer ? {term, after} : newestCommit;
  }

  function recordRole(target: string, {role, term}: TargetStatus): void {
    const isNewer = leadership === undefined || term > leadership.term;
    if (role === 'primary' && isNewer) {
      leadership = {target, term};
    } else if (role === 'replica') {
      dismissLeader(target);
    }
  }

  function dismissLeader(target: string): void {
    if (leadership?.target === target) {
      leadership = undefined;
    }
  }

  function recordStatus(
    target: string,
    requestedAt: Milliseconds,
    status: TargetStatus,
  ): void {
    const known = statuses.get(target);
    if (known !== undefined && known.requestedAt > requestedAt) {
      return;
    }
    statuses.set(target, {requestedAt, status});
    recordRole(target, status);
    const {received: end, term: followedTerm} = status;
    copies.recordLogEnd({target, requestedAt, end, followedTerm}, leadership);
    storeSample();
  }

  function lowestCovering(time: Milliseconds): LogPosition | undefined {
    const covering = samples.filter(({coveredAt}) => coveredAt >= time);
    const latest = newestSample();
    if (latest !== undefined && latest.coveredAt >= time) {
      covering.push(latest);
    }
    return covering.map(({position}) => position).sort(compareLogPositions)[0];
  }

  return {
    setTargets(countedTargets, replicas) {
      targets = countedTargets;
      synchronousReplicas = replicas;
    },
    recordPosition,
    recordStatus,
    recordCommit,
    newestCommit: () => newestCommit,
    copies: copies.state,
    discard(target) {
      copies.recordLoss();
      logs.delete(target);
      statuses.delete(target);
      dismissLeader(target);
    },
    discardAll() {
      logs.clear();
      statuses.clear();
      samples = [];
    },
    logOf: target => logs.get(target),
    receivedEnd: target => statuses.get(target)?.status.received,
    dismissLeader,
    leader: () => leadership,
    coveredAt: () => newestSample()?.coveredAt ?? -Infinity,
    lowestCovering,
  };
}
