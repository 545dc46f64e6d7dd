/**
 * A group of targets as this proxy knows it: links to all of them, who leads,
 * and how fresh a position is proved to be.
 */
import type {LogPosition} from '@kelpstep/protocol';
import type {AdmissionPolicies} from '@kelpstep/pool';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  createSuspensionGuard,
  waitAtMost,
} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  ReadTargetStatus,
} from '@kelpstep/statements';

import {type ChangeSignal, createChangeSignal} from './change_signal';
import {shareOfHolder} from './connection_shares';
import {type GroupPositions, createGroupPositions} from './group_positions';
import type {GroupSettings, TargetRegistration} from './registration';
import {type TargetLink, createTargetLink} from './target_link';

/** What a group tells of itself, for the log. */
export interface TargetGroupEvents {
  onReachability(target: string, isReached: boolean, reason: string): void;
  onLeader(target: string, term: number): void;
  onTarget(target: string, event: 'added' | 'gone' | 'restarted'): void;
}

/** What a group is made of. */
export interface TargetGroupOptions {
  readonly group: string;
  readonly runtime: Runtime;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  readonly events: TargetGroupEvents;
  /** Proxies that share the connections; `Infinity` while that isn't known. */
  holders(): number;
}

/** A group of targets. */
export interface TargetGroup {
  readonly group: string;
  /** Takes in the list and the settings in force. */
  update(
    registrations: readonly TargetRegistration[],
    settings: GroupSettings,
  ): void;
  /** Links to all targets that count. */
  links(): readonly TargetLink[];
  link(target: string): TargetLink | undefined;
  /** The target that leads as far as is known. */
  leader(): TargetLink | undefined;
  readonly positions: GroupPositions;
  /** A position that covers all commits before a time, if it can be proved. */
  awaitCovering(
    time: Milliseconds,
    deadline: Milliseconds,
  ): Task<LogPosition | undefined>;
  /** Changes of the leader, of targets and of log positions. */
  readonly changes: ChangeSignal;
  /** Asks what is not known well enough; call it every `TICK_PERIOD`. */
  tick(): void;
  close(): void;
}

/** Period of `tick`. */
export const TICK_PERIOD: Milliseconds = 100;
/**
 * A target that told nothing for so long is asked. Well below the shortest
 * staleness of routes, so that samples are at hand.
 */
const PROBE_AFTER: Milliseconds = 300;
/**
 * Least time between rounds that ask for statuses: a round trip between regions.
 * Without it each read that waited started one, 2,600 statuses in half a minute
 * of seven proxies without a primary.
 */
const ROUND_SPACING: Milliseconds = 25;
/**
 * How long a target counts after its entry has gone. Entries that lapsed with
 * the list's store come back within about two seconds.
 */
const KEPT_AFTER_ENTRY: Milliseconds = 2500;

interface Member {
  readonly link: TargetLink;
  /** When the entry went; undefined while it is there. */
  missingSince: Milliseconds | undefined;
}

/** Creates a group without targets. */
export function createTargetGroup(options: TargetGroupOptions): TargetGroup {
  const {runtime, events} = options;
  const {timer} = runtime;
  const positions = createGroupPositions();
  const changes = createChangeSignal();
  const members = new Map<string, Member>();
  const suspension = createSuspensionGuard(timer);
  let settings: GroupSettings = {
    group: options.group,
    connectionLimit: 1,
    synchronousReplicas: 0,
  };
  let roundStartedAt = -Infinity;
  let knownLeader = '';

  function share(): number {
    return shareOfHolder(settings.connectionLimit, options.holders());
  }

  function noteLeader(): void {
    const leadership = positions.leader();
    const name = leadership ? `${leadership.target}@${leadership.term}` : '';
    if (name !== knownLeader && leadership !== undefined) {
      events.onLeader(leadership.target, leadership.term);
    }
    knownLeader = name;
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
      onPosition(askedAt, position) {
        positions.notePosition(target, askedAt, position);
        changes.give();
      },
      onStatus(askedAt, status) {
        positions.noteStatus(target, askedAt, status);
        noteLeader();
        changes.give();
      },
      onReachability(isReached, reason) {
        events.onReachability(target, isReached, reason);
        changes.give();
      },
    });
    members.set(target, {link, missingSince: undefined});
    events.onTarget(target, 'added');
  }

  function remove(target: string, event: 'gone' | 'restarted'): void {
    members.get(target)?.link.close();
    members.delete(target);
    positions.forget(target);
    events.onTarget(target, event);
  }

  function take(registration: TargetRegistration): void {
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
      void member.link.askStatus();
    }
  }

  function dropMissing(): void {
    for (const [target, {missingSince}] of [...members]) {
      if (
        missingSince !== undefined &&
        timer.now() - missingSince > KEPT_AFTER_ENTRY
      ) {
        remove(target, 'gone');
        setTargets();
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
    registrations.forEach(take);
    for (const [target, member] of members) {
      if (!listed.has(target)) {
        member.missingSince ??= timer.now();
      }
    }
    setTargets();
    changes.give();
    if (members.size > before) {
      // New targets are asked at once: after a start nothing is served before.
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

  function hasSilentTarget(): boolean {
    return links().some(link => !link.isReached());
  }

  /** Asks all targets, so that a position may be proved to cover all by now. */
  function startRound(): void {
    roundStartedAt = timer.now();
    const needsStatus = hasSilentTarget();
    for (const link of links()) {
      void link.probe();
      if (needsStatus && link.isReached()) {
        void link.askStatus();
      }
    }
  }

  /**
   * A round proves nothing while the leader is silent. With a silent target it
   * asks for statuses, which take slots: all that wait share one.
   */
  function mayStartRound(): boolean {
    if (!leader()?.isReached()) {
      return false;
    }
    const age = timer.now() - roundStartedAt;
    return !hasSilentTarget() || age >= ROUND_SPACING;
  }

  /** Targets that may lead without it being known: all if nobody does. */
  function findClaimants(): TargetLink[] {
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
    dropMissing();
    const now = timer.now();
    for (const link of links()) {
      link.trim();
      if (now - link.lastAskedAt() >= PROBE_AFTER) {
        void link.probe();
      }
    }
    findClaimants().forEach(link => void link.askStatus());
    const isUnproved = now - positions.coveredAt() > 2 * PROBE_AFTER;
    if (isUnproved && hasSilentTarget() && mayStartRound()) {
      startRound();
    }
  }

  function checkSuspension(): void {
    if (suspension.hasSlept()) {
      positions.forgetAll();
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
      if (roundStartedAt < time && mayStartRound()) {
        startRound();
      }
      yield* waitAtMost(changes.next(), Math.min(remaining, ROUND_SPACING));
    }
  }

  return {
    group: options.group,
    update,
    links,
    link: target => members.get(target)?.link,
    leader,
    positions,
    awaitCovering,
    changes,
    tick,
    close() {
      for (const link of links()) {
        link.close();
      }
    },
  };
}
