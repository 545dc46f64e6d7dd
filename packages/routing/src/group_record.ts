/**
 * Keeps a group's state at this proxy: the targets' pools and outages of the
 * primary.
 */
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
  /** Called when requests begin to find no primary. */
  onPrimaryUnavailable(outage: PrimaryOutage): void;
}

/**
 * What a proxy knows when its requests begin to find no primary. Late timers
 * show that the proxy itself was held up, not only the primary.
 */
export interface PrimaryOutage {
  readonly group: string;
  /** The known primary, which can't be used; empty if none is known. */
  readonly primary: string;
  readonly reachedMembers: number;
  readonly timersLateBy: Milliseconds;
}

/** Group access with the operations of the group table. */
export interface GroupRecord extends GroupAccess {
  readonly view: GroupView;
  group(): Group;
  /** Members, cached for at most a millisecond. */
  members(): readonly MemberView[];
  /** Marks the group as in use, so that its view and connections stay open. */
  touch(): void;
  /** Applies a changed manifest or number of live proxies. */
  update(group: Group, liveProxies: number): void;
  /** Opens, trims and probes idle connections; to be called every 250 ms. */
  tick(): void;
  /** Encodes a session that contains only this group; caches the last token. */
  tokenOf(session: Session, at: LogPosition): string;
  pools(): ReadonlyMap<string, TargetPool>;
  close(): void;
}

/**
 * A request without a primary counts as the start of a new outage if the last
 * such request is longer ago than this.
 */
const OUTAGE_MEMORY_MS: Milliseconds = 2_000;
/** Duration of a cold start: the view of an idle group opens its streams. */
const COLD_START_MS: Milliseconds = 200;
/**
 * Time from the first request of a group within which its primary is learned:
 * connections to all members, and a repetition of those that fail.
 */
const LEARNING_TIME_MS: Milliseconds = 2_000;
/** Interval at which idle connections are opened, trimmed and probed. */
export const TICK_INTERVAL_MS: Milliseconds = 250;
/** Idle time of a group after which its next request counts as a cold start. */
const VIEW_IDLE_TIMEOUT_MS: Milliseconds = 5_000;
/** Idle time of a group after which no idle connections are kept open. */
const GROUP_IDLE_TIMEOUT_MS: Milliseconds = 60_000;
const MEMBERS_CACHE_TIME_MS: Milliseconds = 1;
/** Weight of a new sample in the moving average of confirmation times. */
const CONFIRMATION_SMOOTHING_RATIO = 0.1;
/** Factor by which the peak load of the primary decays with each tick. */
const PEAK_DECAY_RATIO = 0.95;

interface PoolEntry {
  readonly member: Member;
  readonly pool: TargetPool;
}

export function createGroupRecord(options: GroupRecordOptions): GroupRecord {
  const {runtime, view} = options;
  const {timer} = runtime;
  const entries = new Map<string, PoolEntry>();
  const leavingSince = new Map<string, Milliseconds>();
  let {group, liveProxies} = options;
  let usedAt = -Infinity;
  let members: readonly MemberView[] = [];
  let membersAt = -Infinity;
  let outage: {since: Milliseconds; notedAt: Milliseconds} | undefined;
  let majorityLostSince: Milliseconds | undefined;
  let coldUntil = -Infinity;
  let firstUsedAt: Milliseconds | undefined;
  let tickedAt = timer.now();
  let confirmationTime = 0;
  let peakInFlight = 1;
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

  function isSameEndpoint(left: Member, right: Member | undefined): boolean {
    return left.address === right?.address && left.slots === right.slots;
  }

  function update(newGroup: Group, newLiveProxies: number): void {
    group = newGroup;
    liveProxies = newLiveProxies;
    membersAt = -Infinity;
    for (const [id, entry] of entries) {
      const member = group.members.find(candidate => candidate.id === id);
      if (member === undefined || !isSameEndpoint(entry.member, member)) {
        entries.delete(id);
        entry.pool.close();
      } else {
        entry.pool.updateShare(member.connectionLimit, liveProxies);
      }
    }
    refresh();
  }

  function refresh(): void {
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
      outage = undefined;
      warmConnections();
    }
  }

  function currentMembers(): readonly MemberView[] {
    const now = timer.now();
    if (now - membersAt >= MEMBERS_CACHE_TIME_MS) {
      members = view.members();
      membersAt = now;
    }
    return members;
  }

  function reportPrimaryUnavailable(): void {
    const now = timer.now();
    const isNew =
      outage === undefined || now - outage.notedAt > OUTAGE_MEMORY_MS;
    const since = isNew || outage === undefined ? now : outage.since;
    outage = {since, notedAt: now};
    if (isNew) {
      options.onPrimaryUnavailable({
        group: group.name,
        primary: view.leadership()?.primary ?? '',
        reachedMembers: view.members().filter(({reachable}) => reachable)
          .length,
        timersLateBy: Math.max(0, now - tickedAt - TICK_INTERVAL_MS),
      });
    }
  }

  /**
   * Returns the likely successor of the primary: the reachable replica with the
   * longest log that is not leaving.
   */
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

  /**
   * Keeps as many connections to the likely next primary as to the primary, and
   * one to each other member. Leaving members and idle groups get none.
   */
  function warmConnections(): void {
    const isIdle = timer.now() - usedAt > GROUP_IDLE_TIMEOUT_MS;
    const primary = view.leadership()?.primary;
    const nextPrimary = likelyNextPrimary(primary);
    for (const {member, leaving} of currentMembers()) {
      const takesWrites = member.id === primary || member.id === nextPrimary;
      const connectionCount = takesWrites ? Math.ceil(peakInFlight) : 1;
      pool(member.id)?.keepWarm(isIdle || leaving ? 0 : connectionCount);
    }
  }

  function tick(): void {
    tickedAt = timer.now();
    const primary = view.leadership()?.primary;
    const load =
      primary === undefined ? undefined : entries.get(primary)?.pool.load();
    peakInFlight = Math.max(
      1,
      peakInFlight * PEAK_DECAY_RATIO,
      load?.inFlight ?? 0,
    );
    warmConnections();
    entries.forEach(entry => entry.pool.tick());
  }

  function touch(): void {
    const now = timer.now();
    const idleTime = now - usedAt;
    usedAt = now;
    firstUsedAt ??= now;
    view.touch();
    if (idleTime > VIEW_IDLE_TIMEOUT_MS) {
      coldUntil = now + COLD_START_MS;
    }
    if (idleTime > GROUP_IDLE_TIMEOUT_MS) {
      warmConnections();
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

  const unsubscribe: Unsubscribe = view.onChange(refresh);
  refresh();

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
    acceptsWrites(memberId) {
      const since = leavingSince.get(memberId);
      return since === undefined || timer.now() - since < options.leavingGrace;
    },
    troubleSince: () => outage?.since,
    majorityLostSince: () => majorityLostSince,
    isCold: () => timer.now() < coldUntil,
    isLearningPrimary: () =>
      lastTerm === 0 &&
      timer.now() - (firstUsedAt ?? Infinity) < LEARNING_TIME_MS,
    reportPrimaryUnavailable,
    reportPrimaryAvailable() {
      outage = undefined;
    },
    confirmationTime: () => confirmationTime,
    observeConfirmationTime(duration) {
      confirmationTime +=
        CONFIRMATION_SMOOTHING_RATIO * (duration - confirmationTime);
    },
    close() {
      unsubscribe();
      entries.forEach(entry => entry.pool.close());
    },
  };
}
