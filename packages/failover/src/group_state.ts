/**
 * What a proxy knows of an open group: the links to its members, what they
 * last told, what follows from that about confirmed records and leadership.
 */
import type {Group, Member} from '@kelpstep/manifest';
import type {TargetStatus} from '@kelpstep/protocol';
import type {TimerService, Unsubscribe} from '@kelpstep/runtime';

import {
  ConfirmedLog,
  NOTHING_CONFIRMED,
  computeConfirmed,
} from './confirmed_log';
import {
  ConfirmationWaiters,
  createConfirmationWaiters,
} from './confirmation_waiters';
import {Freshness, createFreshness} from './freshness';
import {GroupMembers, createGroupMembers} from './group_members';
import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';

/** Knowledge about one group; changes are told to listeners. */
export interface GroupState {
  readonly freshness: Freshness;
  readonly waiters: ConfirmationWaiters;
  readonly members: Omit<GroupMembers, 'setGroup' | 'learn'>;
  /** How many members count. */
  groupSize(): number;
  /** Links to all members, whether they count or not. */
  links(): readonly MemberLink[];
  link(memberId: string): MemberLink | undefined;
  /** Last statuses of the members that were heard. */
  statuses(): readonly TargetStatus[];
  confirmed(): ConfirmedLog;
  /** The leadership whose barrier is confirmed, unless it is in doubt. */
  leadership(): Leadership | undefined;
  /** The newest leadership known to have been confirmed, perhaps over. */
  lastLeadership(): Leadership | undefined;
  /** Member id of the primary of a term, as far as known. */
  primaryOf(term: number): string | undefined;
  /** Highest term that was seen or heard of. */
  highestTerm(): number;
  /** Takes in a confirmed leadership that somebody told. */
  learnLeadership(leadership: Leadership): void;
  /** Takes in a term that a reply showed; puts lower leaderships in doubt. */
  observeTerm(term: number): void;
  /** Ends the doubt: a majority answered a primary's term. */
  endDoubt(): void;
  /** Takes a new description of the group without opening links. */
  setGroup(group: Group, manifestVersion: number): void;
  /** Opens links to the group's members; closes those of former members. */
  open(): void;
  close(): void;
  /** Calls the listener after every status. */
  onChange(listener: () => void): Unsubscribe;
  /** Calls the listener when anything but log positions has changed. */
  onShift(listener: () => void): Unsubscribe;
}

/** What the state of a group is made of. */
export interface GroupStateOptions {
  readonly timer: TimerService;
  readonly group: Group;
  /** Version of the manifest that the group is of. */
  readonly manifestVersion: number;
  /** Opens a link; `onChange` is called after each status. */
  createLink(member: Member, onChange: () => void): MemberLink;
  /** Called when a newer confirmed leadership became known. */
  onLeadership(leadership: Leadership): void;
}

/** Creates the state of a group that is not open. */
export function createGroupState(options: GroupStateOptions): GroupState {
  const {timer} = options;
  const listeners = new Set<() => void>();
  const shiftListeners = new Set<() => void>();
  let shape = '';
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
    const {size} = members.electorate();
    const input = {logs: statuses(), groupSize: size, primaryOf};
    const computed = computeConfirmed(input) ?? confirmed;
    if (isAdvance(confirmed, computed)) {
      confirmed = computed;
      recogniseLeader(computed.at.term);
      waiters.advance(confirmed);
    }
    notify();
  }

  function recogniseLeader(term: number): void {
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

  /** True if what members told since shows that the leadership is over. */
  function isDeposed({term, primary}: Leadership): boolean {
    const electorate = members.electorate();
    let above = 0;
    for (const status of statuses()) {
      above += status.term > term && electorate.includes(status.target) ? 1 : 0;
    }
    return above >= electorate.majority || hasLeft(term, primary);
  }

  function hasLeft(term: number, primary: string): boolean {
    const link = links.get(primary);
    const status = link?.status();
    if (link === undefined || status === undefined) {
      return false;
    }
    const leads = status.role === 'primary' && status.term === term;
    return !leads && (status.term >= term || link.statusAt() > leaderSince);
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
    callAll(listeners);
    const nextShape = describeShape();
    if (nextShape !== shape) {
      shape = nextShape;
      callAll(shiftListeners);
    }
  }

  /** All that members and leadership show, but for log positions. */
  function describeShape(): string {
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
    groupSize: () => members.electorate().size,
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
    endDoubt() {
      inDoubt = false;
      notify();
    },
    setGroup: members.setGroup,
    open,
    close,
    onChange: listener => subscribe(listeners, listener),
    onShift: listener => subscribe(shiftListeners, listener),
  };
}

function subscribe(
  listeners: Set<() => void>,
  listener: () => void,
): Unsubscribe {
  listeners.add(listener);
  return () => listeners.delete(listener);
}

function callAll(listeners: ReadonlySet<() => void>): void {
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
