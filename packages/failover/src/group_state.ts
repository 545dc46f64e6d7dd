/**
 * Maintains a proxy's state of one open group: the control connections to its
 * members, their last statuses, and the confirmed records and leadership that
 * follow from these.
 */
import type {Group, Member} from '@kelpstep/manifest';
import type {TargetStatus} from '@kelpstep/protocol';
import type {TimerService, Unsubscribe} from '@kelpstep/runtime';

import {
  ConfirmationWaiters,
  createConfirmationWaiters,
} from './confirmation_waiters';
import {
  ConfirmedLog,
  NOTHING_CONFIRMED,
  computeConfirmed,
} from './confirmed_log';
import {Freshness, createFreshness} from './freshness';
import {GroupMembers, createGroupMembers} from './group_members';
import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';

/** This proxy's knowledge of one group. */
export interface GroupState {
  readonly freshness: Freshness;
  readonly waiters: ConfirmationWaiters;
  readonly members: Omit<GroupMembers, 'setGroup' | 'learn'>;
  /** Number of voters. */
  groupSize(): number;
  /** Control connections to all members, voters or not. */
  links(): readonly MemberLink[];
  link(memberId: string): MemberLink | undefined;
  /** Last status of each member that has sent one. */
  statuses(): readonly TargetStatus[];
  confirmed(): ConfirmedLog;
  /**
   * The newest leadership with a confirmed barrier; `undefined` while a higher
   * term puts it in doubt or once members' statuses show that it has ended.
   */
  leadership(): Leadership | undefined;
  /** The newest leadership known to be confirmed; it may have ended. */
  lastLeadership(): Leadership | undefined;
  /** Member id of the primary of a term, if known. */
  primaryOf(term: number): string | undefined;
  /** Highest term in a status, a reply or a reported leadership. */
  highestTerm(): number;
  /** Adopts a confirmed leadership reported by a peer if it is newer. */
  learnLeadership(leadership: Leadership): void;
  /**
   * Records a term from a reply. If it is higher than that of the leadership,
   * the leadership is in doubt until `clearDoubt`.
   */
  observeTerm(term: number): void;
  /**
   * Ends the doubt. To be called after a majority has answered in the term of
   * its primary.
   */
  clearDoubt(): void;
  /** Replaces the description of the group without opening connections. */
  setGroup(group: Group, manifestVersion: number): void;
  /** Connects to the group's members and disconnects from former members. */
  open(): void;
  close(): void;
  /** Calls the listener after each status and each change of the state. */
  onChange(listener: () => void): Unsubscribe;
  /**
   * Calls the listener when the leadership, or the condition, role, term or
   * followed primary of a member, has changed.
   */
  onTopologyChange(listener: () => void): Unsubscribe;
}

export interface GroupStateOptions {
  readonly timer: TimerService;
  readonly group: Group;
  /** Version of the manifest that describes the group. */
  readonly manifestVersion: number;
  /** Opens a control connection; `onChange` is called after each status. */
  createLink(member: Member, onChange: () => void): MemberLink;
  /** Called when a newer confirmed leadership becomes known. */
  onLeadership(leadership: Leadership): void;
}

/** Creates a state that has no connections until `open` is called. */
export function createGroupState(options: GroupStateOptions): GroupState {
  const {timer} = options;
  const listeners = new Set<() => void>();
  const topologyListeners = new Set<() => void>();
  let topology = '';
  const links = new Map<string, MemberLink>();
  const freshness = createFreshness();
  const waiters = createConfirmationWaiters(timer, () => confirmed);
  const members = createGroupMembers(options.group, options.manifestVersion);
  let confirmed = NOTHING_CONFIRMED;
  let leader: Leadership | undefined;
  let leaderSince = -Infinity;
  let observedTerm = 0;
  let inDoubt = false;

  function statuses(): TargetStatus[] {
    const known: TargetStatus[] = [];
    for (const link of links.values()) {
      const status = link.status();
      if (status !== undefined) {
        known.push(status);
      }
    }
    return known;
  }

  function primaryOf(term: number): string | undefined {
    if (leader?.term === term) {
      return leader.primary;
    }
    const ofTerm = statuses().filter(status => status.term === term);
    const primary = ofTerm.find(status => status.role === 'primary');
    return primary?.target ?? followedBy(ofTerm);
  }

  function followedBy(replicas: readonly TargetStatus[]): string | undefined {
    const address = replicas.find(replica => replica.following)?.following;
    return members.all().find(member => member.address === address)?.id;
  }

  function update(): void {
    if (members.learn(statuses())) {
      syncLinks();
    }
    const {size} = members.voters();
    const input = {logs: statuses(), groupSize: size, primaryOf};
    const computed = computeConfirmed(input) ?? confirmed;
    if (isAdvance(confirmed, computed)) {
      confirmed = computed;
      updateLeader(computed.at.term);
      waiters.advance(confirmed);
    }
    notify();
  }

  function updateLeader(term: number): void {
    const primary = primaryOf(term);
    if (primary !== undefined) {
      learnLeadership({term, primary});
    }
  }

  function learnLeadership(leadership: Leadership): void {
    const isMember = members.all().some(({id}) => id === leadership.primary);
    if (leadership.term <= (leader?.term ?? 0) || !isMember) {
      return;
    }
    leader = leadership;
    leaderSince = timer.now();
    observedTerm = Math.max(observedTerm, leadership.term);
    inDoubt = observedTerm > leadership.term;
    options.onLeadership(leadership);
    notify();
  }

  function leadership(): Leadership | undefined {
    return leader === undefined || inDoubt || isDeposed(leader)
      ? undefined
      : leader;
  }

  /** True if later statuses of members show that the leadership has ended. */
  function isDeposed({term, primary}: Leadership): boolean {
    const voters = members.voters();
    let higherTermCount = 0;
    for (const status of statuses()) {
      higherTermCount +=
        status.term > term && voters.includes(status.target) ? 1 : 0;
    }
    return higherTermCount >= voters.majority || hasSteppedDown(term, primary);
  }

  function hasSteppedDown(term: number, primary: string): boolean {
    const link = links.get(primary);
    const status = link?.status();
    if (link === undefined || status === undefined) {
      return false;
    }
    const isPrimary = status.role === 'primary' && status.term === term;
    return !isPrimary && (status.term >= term || link.statusAt() > leaderSince);
  }

  function observeTerm(term: number): void {
    observedTerm = Math.max(observedTerm, term);
    if (leader !== undefined && observedTerm > leader.term && !inDoubt) {
      inDoubt = true;
      notify();
    }
  }

  function highestTerm(): number {
    const terms = statuses().map(status => status.term);
    return Math.max(observedTerm, leader?.term ?? 0, ...terms);
  }

  function open(): void {
    syncLinks();
    update();
  }

  function syncLinks(): void {
    for (const [id, link] of links) {
      const member = members.all().find(candidate => candidate.id === id);
      if (member?.address !== link.member.address) {
        link.close();
        links.delete(id);
      }
    }
    for (const member of members.all()) {
      if (!links.has(member.id)) {
        links.set(member.id, options.createLink(member, update));
      }
    }
  }

  function close(): void {
    for (const link of links.values()) {
      link.close();
    }
    links.clear();
    notify();
  }

  function notify(): void {
    callListeners(listeners);
    const nextTopology = describeTopology();
    if (nextTopology !== topology) {
      topology = nextTopology;
      callListeners(topologyListeners);
    }
  }

  /** Serialises the state of members and leadership without log positions. */
  function describeTopology(): string {
    const leading = leadership();
    let text = `${leading?.term}/${leading?.primary}/${leader?.term}`;
    for (const link of links.values()) {
      const status = link.status();
      text += `;${link.member.id}/${link.condition()}`;
      text += `/${status?.role}/${status?.term}/${status?.following}`;
    }
    return text;
  }

  return {
    freshness,
    waiters,
    members,
    groupSize: () => members.voters().size,
    links: () => [...links.values()],
    link: memberId => links.get(memberId),
    statuses,
    confirmed: () => confirmed,
    leadership,
    lastLeadership: () => leader,
    primaryOf,
    highestTerm,
    learnLeadership,
    observeTerm,
    clearDoubt() {
      inDoubt = false;
      notify();
    },
    setGroup: members.setGroup,
    open,
    close,
    onChange: listener => subscribe(listeners, listener),
    onTopologyChange: listener => subscribe(topologyListeners, listener),
  };
}

function subscribe(
  listeners: Set<() => void>,
  listener: () => void,
): Unsubscribe {
  listeners.add(listener);
  return () => listeners.delete(listener);
}

function callListeners(listeners: ReadonlySet<() => void>): void {
  for (const listener of [...listeners]) {
    listener();
  }
}

function isAdvance(before: ConfirmedLog, after: ConfirmedLog): boolean {
  return (
    after.at.term > before.at.term ||
    (after.at.term === before.at.term && after.at.position > before.at.position)
  );
}
