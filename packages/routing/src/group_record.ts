/** What this proxy keeps of one group: its targets' pools and its troubles. */
import type {GroupView, MemberView} from '@kelpstep/failover';
import type {Group, Member} from '@kelpstep/manifest';
import {
  ConnectionTimes,
  PoolPolicies,
  TargetPool,
  createTargetPool,
} from '@kelpstep/pool';
import {LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {GroupAccess, reachesMajority} from '@kelpstep/request-ledger';
import type {Transport} from '@kelpstep/rpc';
import type {Milliseconds, Runtime, Unsubscribe} from '@kelpstep/runtime';
import {Session, encodeToken} from '@kelpstep/session';

/** What a record is made of. */
export interface GroupRecordOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly view: GroupView;
  readonly group: Group;
  readonly liveProxies: number;
  readonly policies: PoolPolicies;
  readonly connectionTimes: ConnectionTimes;
  readonly queueCapacity: number;
  readonly leavingGrace: Milliseconds;
}

/** A group as this proxy uses it. */
export interface GroupRecord extends GroupAccess {
  readonly view: GroupView;
  group(): Group;
  /** Members, as of at most a millisecond ago. */
  members(): readonly MemberView[];
  /** Tells that a request uses the group. */
  touch(): void;
  /** The manifest or the number of live proxies changed. */
  update(group: Group, liveProxies: number): void;
  /** Warms, trims and probes connections; called a few times a second. */
  tick(): void;
  /** Token of a session that has seen this group only; kept while it stays. */
  tokenOf(session: Session, at: LogPosition): string;
  pools(): ReadonlyMap<string, TargetPool>;
  close(): void;
}

/** Trouble that no request met for this long is over. */
const TROUBLE_MEMORY: Milliseconds = 2_000;
/** The view of a group that was idle is open after this. */
const COLD_START: Milliseconds = 200;
/** A view closes its streams when its group is idle for this long. */
const VIEW_IDLE: Milliseconds = 5_000;
/** A group not used for this long keeps no connections warm. */
const IDLE_GROUP: Milliseconds = 60_000;
const MEMBERS_VALIDITY: Milliseconds = 1;
const CONFIRMATION_WEIGHT = 0.1;
const PEAK_DECAY = 0.95;

interface PoolEntry {
  readonly member: Member;
  readonly pool: TargetPool;
}

/** Creates the record of a group that is not used yet. */
export function createGroupRecord(options: GroupRecordOptions): GroupRecord {
  const {runtime, view} = options;
  const {timer} = runtime;
  const entries = new Map<string, PoolEntry>();
  const leavingSince = new Map<string, Milliseconds>();
  let {group, liveProxies} = options;
  let usedAt = -Infinity;
  let members: readonly MemberView[] = [];
  let membersAt = -Infinity;
  let trouble: {since: Milliseconds; notedAt: Milliseconds} | undefined;
  let majorityLostSince: Milliseconds | undefined;
  let coldUntil = -Infinity;
  let confirmationTime = 0;
  let peakAtPrimary = 1;
  let lastToken: {readonly at: LogPosition; readonly text: string} | undefined;
  let lastTerm = view.leadership()?.term ?? 0;

  function createPool(member: Member): TargetPool {
    return createTargetPool({
      runtime,
      transport: options.transport,
      member,
      liveProxies,
      policies: options.policies,
      times: options.connectionTimes,
      queueCapacity: options.queueCapacity,
    });
  }

  function pool(memberId: string): TargetPool | undefined {
    const entry = entries.get(memberId);
    if (entry !== undefined) {
      return entry.pool;
    }
    const member = group.members.find(({id}) => id === memberId);
    if (member === undefined) {
      return undefined;
    }
    const created = createPool(member);
    entries.set(memberId, {member, pool: created});
    return created;
  }

  function isSamePlace(left: Member, right: Member | undefined): boolean {
    return left.address === right?.address && left.slots === right.slots;
  }

  function update(newGroup: Group, newLiveProxies: number): void {
    group = newGroup;
    liveProxies = newLiveProxies;
    membersAt = -Infinity;
    for (const [id, entry] of entries) {
      const member = group.members.find(candidate => candidate.id === id);
      if (member === undefined || !isSamePlace(entry.member, member)) {
        entries.delete(id);
        entry.pool.close();
      } else {
        entry.pool.updateShare(member.connectionLimit, liveProxies);
      }
    }
    noteChange();
  }

  function noteChange(): void {
    membersAt = -Infinity;
    const now = timer.now();
    majorityLostSince = reachesMajority(view)
      ? undefined
      : (majorityLostSince ?? now);
    for (const {member, leaving} of view.members()) {
      if (!leaving) {
        leavingSince.delete(member.id);
      } else if (!leavingSince.has(member.id)) {
        leavingSince.set(member.id, now);
      }
    }
    const term = view.leadership()?.term ?? 0;
    if (term > lastTerm) {
      lastTerm = term;
      trouble = undefined;
      warm();
    }
  }

  function currentMembers(): readonly MemberView[] {
    const now = timer.now();
    if (now - membersAt >= MEMBERS_VALIDITY) {
      members = view.members();
      membersAt = now;
    }
    return members;
  }

  function noteTrouble(): void {
    const now = timer.now();
    const isNew =
      trouble === undefined || now - trouble.notedAt > TROUBLE_MEMORY;
    const since = isNew || trouble === undefined ? now : trouble.since;
    trouble = {since, notedAt: now};
  }

  /** The replica that would be promoted: the one that is farthest. */
  function likelyNextPrimary(primary: string | undefined): string | undefined {
    let best: MemberView | undefined;
    for (const candidate of currentMembers()) {
      const serves =
        candidate.reachable &&
        !candidate.leaving &&
        candidate.member.id !== primary;
      if (
        serves &&
        (best === undefined || compareLogPositions(candidate.end, best.end) > 0)
      ) {
        best = candidate;
      }
    }
    return best?.member.id;
  }

  /** Where writes go next needs as many connections as where they go now. */
  function warm(): void {
    const isIdle = timer.now() - usedAt > IDLE_GROUP;
    const primary = view.leadership()?.primary;
    const next = likelyNextPrimary(primary);
    for (const {member, leaving} of currentMembers()) {
      const takesWrites = member.id === primary || member.id === next;
      const wanted = takesWrites ? Math.ceil(peakAtPrimary) : 1;
      pool(member.id)?.keepWarm(isIdle || leaving ? 0 : wanted);
    }
  }

  function tick(): void {
    const primary = view.leadership()?.primary;
    const load =
      primary === undefined ? undefined : entries.get(primary)?.pool.load();
    peakAtPrimary = Math.max(
      1,
      peakAtPrimary * PEAK_DECAY,
      load?.inFlight ?? 0,
    );
    warm();
    entries.forEach(entry => entry.pool.tick());
  }

  function touch(): void {
    const now = timer.now();
    const idleTime = now - usedAt;
    usedAt = now;
    view.touch();
    if (idleTime > VIEW_IDLE) {
      coldUntil = now + COLD_START;
    }
    if (idleTime > IDLE_GROUP) {
      warm();
    }
  }

  function tokenOf(session: Session, at: LogPosition): string {
    if (
      lastToken === undefined ||
      compareLogPositions(lastToken.at, at) !== 0
    ) {
      lastToken = {at, text: encodeToken(session)};
    }
    return lastToken.text;
  }

  const stopFollowing: Unsubscribe = view.onChange(noteChange);
  noteChange();

  return {
    view,
    group: () => group,
    members: currentMembers,
    touch,
    update,
    tick,
    tokenOf,
    pool,
    pools: () =>
      new Map([...entries].map(([id, entry]) => [id, entry.pool] as const)),
    takesWrites(memberId) {
      const since = leavingSince.get(memberId);
      return since === undefined || timer.now() - since < options.leavingGrace;
    },
    troubleSince: () => trouble?.since,
    majorityLostSince: () => majorityLostSince,
    isCold: () => timer.now() < coldUntil,
    noteTrouble,
    noteService() {
      trouble = undefined;
    },
    confirmationTime: () => confirmationTime,
    noteConfirmationTime(duration) {
      confirmationTime += CONFIRMATION_WEIGHT * (duration - confirmationTime);
    },
    close() {
      stopFollowing();
      entries.forEach(entry => entry.pool.close());
    },
  };
}
