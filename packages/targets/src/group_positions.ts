/**
 * Proves how fresh a log position is. A sample (position, coveredAt) says that
 * the position covers every commit that was acknowledged before `coveredAt`.
 *
 * Proof: the target that led term t was asked at or after `coveredAt` and its
 * log ended at the position, so it covers the commits of terms up to t. A commit
 * of a later term needs a primary of that term and, with synchronous replicas, a
 * receiver. Every other target was asked at or after `coveredAt` too, and none
 * showed a later term. One target may be silent if commits need a receiver: the
 * receiver then is among those that answered. Those are asked for what they
 * received, not only for what they applied.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {TargetStatus} from '@kelpstep/statements';
import type {Milliseconds} from '@kelpstep/runtime';

/** A position that covers all commits acknowledged before a time. */
export interface PositionSample {
  readonly position: LogPosition;
  /** Monotonic time. */
  readonly coveredAt: Milliseconds;
}

/** What is known of a target's log. */
export interface TargetLog {
  /** When the question was sent that `position` answers. */
  readonly askedAt: Milliseconds;
  readonly position: LogPosition;
}

interface StatusReport {
  readonly askedAt: Milliseconds;
  readonly status: TargetStatus;
}

/** Who said of itself that it leads, in which term. */
export interface Leadership {
  readonly target: string;
  readonly term: number;
}

/** Log positions of a group's targets. */
export interface GroupPositions {
  /** Sets which targets count, and how many receivers a commit needs. */
  setTargets(targets: readonly string[], synchronousReplicas: number): void;
  notePosition(
    target: string,
    askedAt: Milliseconds,
    position: LogPosition,
  ): void;
  noteStatus(target: string, askedAt: Milliseconds, status: TargetStatus): void;
  /** A target started anew: nothing that is known of it holds. */
  forget(target: string): void;
  /** Time may have passed unnoticed: drops all samples and reports. */
  forgetAll(): void;
  logOf(target: string): TargetLog | undefined;
  /** The target said that it doesn't lead. */
  dismissLeader(target: string): void;
  /** The newest leadership that is known; it may have ended. */
  leader(): Leadership | undefined;
  /** Until when the newest sample covers all; -Infinity without one. */
  coveredAt(): Milliseconds;
  /** The lowest kept position that covers all commits before a time. */
  lowestCovering(time: Milliseconds): LogPosition | undefined;
}

/** How long samples are kept; routes ask for at most a few seconds. */
const KEPT_FOR: Milliseconds = 4000;
/** Samples closer than this replace each other, to keep the list short. */
const SAMPLE_SPACING: Milliseconds = 50;

/** Creates positions of a group without targets. */
export function createGroupPositions(): GroupPositions {
  const logs = new Map<string, TargetLog>();
  const reports = new Map<string, StatusReport>();
  let targets: readonly string[] = [];
  let synchronousReplicas = 0;
  let leadership: Leadership | undefined;
  let samples: PositionSample[] = [];

  /** When a target last showed that it applied nothing above a term. */
  function appliedClearAt(target: string, term: number): Milliseconds {
    const log = logs.get(target);
    const isClear = log !== undefined && log.position.term <= term;
    return isClear ? log.askedAt : -Infinity;
  }

  /** The same for what it received. */
  function receivedClearAt(target: string, term: number): Milliseconds {
    const report = reports.get(target);
    const isClear =
      report !== undefined &&
      report.status.received.term <= term &&
      report.status.term <= term;
    return isClear ? report.askedAt : -Infinity;
  }

  function coverageByAll(leader: Leadership): Milliseconds {
    const times = targets.map(target => appliedClearAt(target, leader.term));
    return Math.min(...times);
  }

  function coverageWithOneSilent(leader: Leadership): Milliseconds {
    const others = targets.filter(target => target !== leader.target);
    if (synchronousReplicas < 1 || others.length < 2) {
      return -Infinity;
    }
    const times = others
      .map(target => receivedClearAt(target, leader.term))
      .sort((left, right) => left - right);
    const allButOne = times[1] ?? -Infinity;
    return Math.min(receivedClearAt(leader.target, leader.term), allButOne);
  }

  function newest(): PositionSample | undefined {
    const log = leadership && logs.get(leadership.target);
    if (leadership === undefined || log === undefined) {
      return undefined;
    }
    if (log.position.term > leadership.term) {
      return undefined;
    }
    const proved = Math.max(
      coverageByAll(leadership),
      coverageWithOneSilent(leadership),
    );
    const coveredAt = Math.min(log.askedAt, proved);
    return coveredAt === -Infinity
      ? undefined
      : {position: log.position, coveredAt};
  }

  function keepSample(): void {
    const sample = newest();
    const last = samples[samples.length - 1];
    if (sample === undefined) {
      return;
    }
    if (
      last !== undefined &&
      sample.coveredAt - last.coveredAt < SAMPLE_SPACING
    ) {
      return;
    }
    const oldest = sample.coveredAt - KEPT_FOR;
    samples = samples.filter(({coveredAt}) => coveredAt > oldest);
    samples.push(sample);
  }

  /** A leader whose log ends earlier than before came back without it. */
  function hasLostLog(target: string, position: LogPosition): boolean {
    const known = logs.get(target);
    return (
      leadership?.target === target &&
      known !== undefined &&
      compareLogPositions(position, known.position) < 0
    );
  }

  function notePosition(
    target: string,
    askedAt: Milliseconds,
    position: LogPosition,
  ): void {
    const known = logs.get(target);
    if (known !== undefined && known.askedAt > askedAt) {
      return;
    }
    if (hasLostLog(target, position)) {
      leadership = undefined;
    }
    logs.set(target, {askedAt, position});
    keepSample();
  }

  function noteRole(target: string, {role, term}: TargetStatus): void {
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

  function noteStatus(
    target: string,
    askedAt: Milliseconds,
    status: TargetStatus,
  ): void {
    const known = reports.get(target);
    if (known !== undefined && known.askedAt > askedAt) {
      return;
    }
    reports.set(target, {askedAt, status});
    noteRole(target, status);
    keepSample();
  }

  function lowestCovering(time: Milliseconds): LogPosition | undefined {
    const covering = samples.filter(({coveredAt}) => coveredAt >= time);
    const latest = newest();
    if (latest !== undefined && latest.coveredAt >= time) {
      covering.push(latest);
    }
    return covering.map(({position}) => position).sort(compareLogPositions)[0];
  }

  return {
    setTargets(wanted, receivers) {
      targets = wanted;
      synchronousReplicas = receivers;
    },
    notePosition,
    noteStatus,
    forget(target) {
      logs.delete(target);
      reports.delete(target);
      dismissLeader(target);
    },
    forgetAll() {
      logs.clear();
      reports.clear();
      samples = [];
    },
    logOf: target => logs.get(target),
    dismissLeader,
    leader: () => leadership,
    coveredAt: () => newest()?.coveredAt ?? -Infinity,
    lowestCovering,
  };
}
