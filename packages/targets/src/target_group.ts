/**
 * A group of targets as known to this proxy: links to all targets, the current
 * leader and the log positions with their proven freshness.
 */
import type {LogPosition} from '@kelpstep/protocol';
import type {AdmissionPolicies} from '@kelpstep/pool';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  createSuspensionDetector,
  waitWithTimeout,
} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  ReadTargetStatus,
} from '@kelpstep/statements';

import {type ChangeSignal, createChangeSignal} from './change_signal';
import {connectionsPerOwner} from './connection_shares';
import {type DepartedTarget, createDepartedTargets} from './departed_targets';
import {type GroupPositions, createGroupPositions} from './group_positions';
import {knownLogEnd} from './known_log_end';
import {
  type OutlierDetection,
  type OutlierEvent,
  createOutlierDetection,
} from './outlier_detection';
import type {GroupSettings, TargetRegistration} from './registration';
import type {TargetGroupEvents} from './target_group_events';
import {type TargetLink, createTargetLink} from './target_link';

/** What a group needs to open links to its targets. */
export interface TargetGroupOptions {
  readonly group: string;
  readonly runtime: Runtime;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  readonly events: TargetGroupEvents;
  /** Number of connection owners; `Infinity` while it is unknown. */
  ownerCount(): number;
  /** True if targets that do not answer statements are ejected. */
  readonly outlierDetection?: boolean | undefined;
}

/** The targets of a group, as far as they are known to this proxy. */
export interface TargetGroup {
  readonly group: string;
  /**
   * Applies the current registrations and settings. Unknown targets are added.
   * A target whose registration has been missing for `REMOVAL_DELAY_MS` is
   * removed once it does not answer; until then it counts as leaving.
   */
  update(
    registrations: readonly TargetRegistration[],
    settings: GroupSettings,
  ): void;
  /** Links to all members of the group. */
  links(): readonly TargetLink[];
  link(target: string): TargetLink | undefined;
  /** The newest known leader; its leadership may have ended. */
  leader(): TargetLink | undefined;
  /**
   * Monotonic time since which the target's registration is missing; undefined
   * while it is listed.
   */
  missingSince(target: string): Milliseconds | undefined;
  /** Targets that were removed lately. */
  departed(): readonly DepartedTarget[];
  /** True if a commit is acknowledged only after a replica received it. */
  hasSynchronousReplicas(): boolean;
  readonly positions: GroupPositions;
  /** Undefined if it is switched off. */
  readonly outliers: OutlierDetection | undefined;
  /**
   * Waits for a position that provably covers all commits before `time`;
   * `undefined` if there is none by the deadline. Both are monotonic times.
   */
  awaitCovering(
    time: Milliseconds,
    deadline: Milliseconds,
  ): Task<LogPosition | undefined>;
  /** Signals changes of the leader, the targets and the log positions. */
  readonly changes: ChangeSignal;
  /**
   * Probes targets whose state is out of date; to be called every
   * `TICK_PERIOD_MS`.
   */
  tick(): void;
  close(): void;
}

/** Interval at which `TargetGroup.tick` is called. */
export const TICK_PERIOD_MS: Milliseconds = 100;
/**
 * Age of a target's newest known state at which it is probed. It is well below
 * the shortest staleness bound of routes, so that recent samples are available.
 */
const PROBE_INTERVAL_MS: Milliseconds = 300;
/**
 * Minimum time between probe rounds that include statuses: a round trip between
 * regions. Without it, each waiting read would start a round: 7 proxies without
 * a primary sent 2,600 status probes in 30 s.
 */
const PROBE_ROUND_INTERVAL_MS: Milliseconds = 25;
/**
 * A target is removed when its registration has been missing for this long.
 * Registrations that expire during an outage of the registration store are
 * back within about 2 s.
 */
const REMOVAL_DELAY_MS: Milliseconds = 2500;

interface Member {
  readonly link: TargetLink;
  /**
   * Monotonic time since which the registration is missing; undefined while it
   * is listed.
   */
  missingSince: Milliseconds | undefined;
}

/** Creates a group without members; `update` adds them. */
export function createTargetGroup(options: TargetGroupOptions): TargetGroup {
  const {runtime, events} = options;
  const {timer} = runtime;
  const positions = createGroupPositions(timer.now);
  const changes = createChangeSignal();
  const members = new Map<string, Member>();
  const departures = createDepartedTargets(timer.now);
  const suspension = createSuspensionDetector(timer);
  let settings: GroupSettings = {
    group: options.group,
    connectionLimit: 1,
    synchronousReplicas: 0,
  };
  const outliers = options.outlierDetection
    ? createOutlierDetection({
        now: timer.now,
        targets: () => [...members.keys()],
        mayRunReads(target) {
          const link = members.get(target)?.link;
          return link?.isReached() === true && !link.registration().isLeaving;
        },
        onEvent: handleOutlier,
      })
    : undefined;
  let probeRoundStartedAt = -Infinity;
  let reportedLeader = '';

  function share(): number {
    return connectionsPerOwner(settings.connectionLimit, options.ownerCount());
  }

  function handleOutlier(event: OutlierEvent): void {
    events.onOutlier(event);
    if (event.kind === 'ejected') {
      members.get(event.target)?.link.withdrawQueued();
    } else if (event.kind === 'readmitted') {
      members.get(event.target)?.link.resetServiceTimes();
    }
  }

  function reportLeader(logEnd: LogPosition): void {
    const leadership = positions.leader();
    const name = leadership ? `${leadership.target}@${leadership.term}` : '';
    if (name !== reportedLeader && leadership !== undefined) {
      events.onLeader(leadership.target, leadership.term, logEnd);
    }
    reportedLeader = name;
  }

  function add(registration: TargetRegistration): void {
    const {target} = registration;
    const link = createTargetLink({
      runtime,
      registration,
      share,
      open: options.open,
      readStatus: options.readStatus,
      policies: options.policies,
      onPosition(requestedAt, position) {
        positions.recordPosition(target, requestedAt, position);
        changes.notify();
      },
      onStatus(requestedAt, status) {
        positions.recordStatus(target, requestedAt, status);
        reportLeader(status.received);
        changes.notify();
      },
      logEnd: () => positions.logOf(target)?.position,
      onCommit(after) {
        positions.recordCommit(target, after);
        events.onCommit(target, after);
      },
      onReachability(isReached, reason) {
        events.onReachability(target, isReached, reason);
        changes.notify();
      },
      onConnectionOpened: () => events.onConnectionOpened(target),
      onStatementStart: queueTime => events.onStatementStart(target, queueTime),
    });
    members.set(target, {link, missingSince: undefined});
    events.onTarget(target, 'added');
  }

  function remove(target: string, event: 'gone' | 'restarted'): void {
    const member = members.get(target);
    departures.record({
      target,
      reason: event,
      missingSince: member?.missingSince,
      logEnd: knownLogEnd(positions, target),
    });
    member?.link.close();
    members.delete(target);
    positions.discard(target);
    outliers?.forget(target);
    events.onTarget(target, event);
  }

  function applyRegistration(registration: TargetRegistration): void {
    const {target, address, startedAt} = registration;
    const known = members.get(target);
    const before = known?.link.registration();
    if (
      before !== undefined &&
      (before.startedAt !== startedAt || before.address !== address)
    ) {
      remove(target, 'restarted');
    }
    const member = members.get(target);
    if (member === undefined) {
      add(registration);
      return;
    }
    const hasChangedRole = before?.role !== registration.role;
    member.missingSince = undefined;
    member.link.update(registration);
    const isLeader = positions.leader()?.target === target;
    if (hasChangedRole && (isLeader || registration.role === 'primary')) {
      void member.link.probeStatus();
    }
  }

  /**
   * A target that is cut off from the registration store may still receive
   * commits, and hold the only copies of some. It remains a member while it
   * answers, but is given no statements.
   */
  function removeMissing(): void {
    for (const [target, {link, missingSince}] of [...members]) {
      const isOverdue =
        missingSince !== undefined &&
        timer.now() - missingSince > REMOVAL_DELAY_MS;
      if (isOverdue && !link.isReached()) {
        remove(target, 'gone');
        setTargets();
      } else if (isOverdue && !link.registration().isLeaving) {
        link.update({...link.registration(), isLeaving: true});
        events.onTarget(target, 'lapsed');
      }
    }
  }

  function setTargets(): void {
    positions.setTargets([...members.keys()], settings.synchronousReplicas);
  }

  function update(
    registrations: readonly TargetRegistration[],
    nextSettings: GroupSettings,
  ): void {
    settings = nextSettings;
    const before = members.size;
    const listed = new Set(registrations.map(({target}) => target));
    registrations.forEach(applyRegistration);
    for (const [target, member] of members) {
      if (!listed.has(target)) {
        member.missingSince ??= timer.now();
      }
    }
    setTargets();
    changes.notify();
    if (members.size > before) {
      // New targets are probed at once, because nothing is served after a start
      // until their state is known.
      tick();
    }
  }

  function links(): TargetLink[] {
    return [...members.values()].map(({link}) => link);
  }

  function leader(): TargetLink | undefined {
    const leadership = positions.leader();
    return leadership && members.get(leadership.target)?.link;
  }

  function hasUnresponsiveTarget(): boolean {
    return links().some(link => !link.isReached());
  }

  /** Probes all targets to obtain a position that covers all commits so far. */
  function startProbeRound(): void {
    probeRoundStartedAt = timer.now();
    const needsStatus = hasUnresponsiveTarget();
    for (const link of links()) {
      void link.probePosition();
      if (needsStatus && link.isReached()) {
        void link.probeStatus();
      }
    }
  }

  /**
   * True if a probe round may start. A round proves nothing while the leader is
   * unresponsive. With an unresponsive target, a round includes statuses, which
   * occupy slots of the targets, so all waiting tasks share one round.
   */
  function mayStartProbeRound(): boolean {
    if (!leader()?.isReached()) {
      return false;
    }
    const age = timer.now() - probeRoundStartedAt;
    return !hasUnresponsiveTarget() || age >= PROBE_ROUND_INTERVAL_MS;
  }

  /** Targets that may be the primary although another or none is known. */
  function findPossibleLeaders(): TargetLink[] {
    const known = positions.leader()?.target;
    return links().filter(
      link =>
        link.target !== known &&
        link.isReached() &&
        (known === undefined || link.registration().role === 'primary'),
    );
  }

  function tick(): void {
    checkSuspension();
    removeMissing();
    outliers?.tick();
    const now = timer.now();
    for (const link of links()) {
      link.trim();
      if (now - link.lastContactAt() >= PROBE_INTERVAL_MS) {
        void link.probePosition();
      }
    }
    findPossibleLeaders().forEach(link => void link.probeStatus());
    const isCoverageStale = now - positions.coveredAt() > 2 * PROBE_INTERVAL_MS;
    if (isCoverageStale && hasUnresponsiveTarget() && mayStartProbeRound()) {
      startProbeRound();
    }
  }

  function checkSuspension(): void {
    if (suspension.wasSuspended()) {
      positions.discardAll();
      outliers?.dropSamples();
    }
  }

  function* awaitCovering(
    time: Milliseconds,
    deadline: Milliseconds,
  ): Task<LogPosition | undefined> {
    for (;;) {
      checkSuspension();
      const position = positions.lowestCovering(time);
      if (position !== undefined) {
        return position;
      }
      const remaining = deadline - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      if (probeRoundStartedAt < time && mayStartProbeRound()) {
        startProbeRound();
      }
      yield* waitWithTimeout(
        changes.next(),
        Math.min(remaining, PROBE_ROUND_INTERVAL_MS),
      );
    }
  }

  return {
    group: options.group,
    update,
    links,
    link: target => members.get(target)?.link,
    leader,
    missingSince: target => members.get(target)?.missingSince,
    departed: departures.recent,
    hasSynchronousReplicas: () => settings.synchronousReplicas > 0,
    positions,
    outliers,
    awaitCovering,
    changes,
    tick,
    close() {
      outliers?.close();
      for (const link of links()) {
        link.close();
      }
    },
  };
}
