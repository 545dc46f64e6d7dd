/** Selects the target at which a statement may run, or waits for one. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  waitAtMost,
} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {chooseReader} from './select_read_target';
import {type Dispatch, kindOf} from './dispatch_types';
import {type PrimaryState, createPrimaryReturn} from './primary_outage';

/** A target, and the log position that it must have reached. */
export interface Place {
  readonly link: TargetLink;
  readonly after: LogPosition | undefined;
}

/** No target is expected in time, but one after `retryAfter`. */
export interface NoPlace {
  readonly retryAfter: Milliseconds;
}

/**
 * Where a statement may run. `elsewhere`: a peer may have a target for it;
 * undefined: there was none in time.
 */
export type Placement = Place | NoPlace | 'elsewhere' | undefined;

/** Parameters of a target selection. */
export interface PlaceSearch {
  readonly group: TargetGroup;
  readonly work: Dispatch;
  /** Monotonic time at which the selection is given up. */
  readonly until: Milliseconds;
  /** Monotonic times at which targets were tried for this statement. */
  readonly triedAt: ReadonlyMap<string, Milliseconds>;
  /** True if a peer may be tried while no target is available here. */
  mayAskElsewhere(): boolean;
}

/** Dependencies of a target selector. */
export interface PlaceFinderOptions {
  readonly runtime: Runtime;
  /** True while the group's primary is being replaced. */
  isChanging(group: string): boolean;
}

/** Selects targets for statements. */
export interface PlaceFinder {
  find(search: PlaceSearch): Task<Placement>;
  /**
   * A target for a second attempt; the same one again if the statement needs
   * the primary, undefined if there is none.
   */
  another(search: PlaceSearch, place: Place): Place | undefined;
  /** Samples the state of the group's primary; to be called on every tick. */
  notePrimary(group: TargetGroup): void;
  /** True if a target is expected to be available without waiting. */
  isExpected(group: TargetGroup, work: Dispatch): boolean;
}

/**
 * Part of a route's maximum staleness that is reserved for the network delay
 * from the caller to this proxy and from here to the target.
 */
const STALENESS_MARGIN: Milliseconds = 150;
/** Interval of the checks for a target that may serve a read. */
const LOOK_PERIOD: Milliseconds = 15;
/**
 * How long to wait for a proof of freshness before trying a peer: two round
 * trips between regions and the time to answer.
 */
const PROOF_PATIENCE: Milliseconds = 120;
/** Traffic and status probes keep the proof of freshness younger than this. */
const PROOF_AGE: Milliseconds = 1000;

function isPosition(
  after: LogPosition | NoPlace | string | undefined,
): after is LogPosition {
  return typeof after === 'object' && 'term' in after;
}

/** True if no target accepts a connection of this proxy for the account. */
function isShutOut(
  places: ReadonlyArray<TargetLink | undefined>,
  {account}: Dispatch,
): boolean {
  return places.every(link => link?.isShutOut(account) ?? true);
}

/** Creates a target selector. */
export function createPlaceFinder(options: PlaceFinderOptions): PlaceFinder {
  const {timer} = options.runtime;
  const primaryReturn = createPrimaryReturn();

  function notePrimary(group: TargetGroup): void {
    primaryReturn.note(group.group, primaryState(group), timer.now());
  }

  function primaryState(group: TargetGroup): PrimaryState {
    if (usablePrimary(group) !== undefined) {
      return 'present';
    }
    const leader = group.leader();
    const isLeaving = leader?.registration().isLeaving ?? false;
    return isLeaving && leader?.isReached() ? 'leaving' : 'lost';
  }

  /** Set if a lost primary is expected back too late for the statement. */
  function absenceBeyond({group, until}: PlaceSearch): NoPlace | undefined {
    const now = timer.now();
    notePrimary(group);
    const retryAfter = primaryReturn.expected(group.group, now);
    const isBeyond = retryAfter > 0 && now + retryAfter > until;
    return isBeyond ? {retryAfter} : undefined;
  }

  function requiredTime({route, arrivedAt}: Dispatch): Milliseconds {
    if (route.freshness === 'primary') {
      return arrivedAt;
    }
    const usable = Math.max(0, route.maximumStaleness - STALENESS_MARGIN);
    return arrivedAt - usable;
  }

  /**
   * The log position that the target must have reached. `again`: not known yet,
   * but there is time left; undefined: there is no time left.
   */
  function* requiredPosition(
    search: PlaceSearch,
  ): Task<LogPosition | NoPlace | 'again' | 'elsewhere' | undefined> {
    const {group, work, until} = search;
    // Only a primary proves freshness, and it may be lost during the wait.
    const covering = yield* group.awaitCovering(
      requiredTime(work),
      Math.min(until, timer.now() + PROOF_PATIENCE),
    );
    if (covering === undefined) {
      if (isElsewhere(search)) {
        return 'elsewhere';
      }
      return (
        absenceBeyond(search) ?? (timer.now() >= until ? undefined : 'again')
      );
    }
    const {lastCommit} = work;
    if (lastCommit === undefined) {
      return covering;
    }
    return compareLogPositions(covering, lastCommit) < 0
      ? lastCommit
      : covering;
  }

  function usablePrimary(group: TargetGroup): TargetLink | undefined {
    const leader = group.leader();
    const isUsable =
      leader !== undefined &&
      leader.isReached() &&
      !leader.registration().isLeaving &&
      !options.isChanging(group.group);
    return isUsable ? leader : undefined;
  }

  /**
   * Peers can't help while the primary is replaced: all wait for the same one.
   */
  function isElsewhere({group, mayAskElsewhere}: PlaceSearch): boolean {
    return !options.isChanging(group.group) && mayAskElsewhere();
  }

  function* findPrimary(search: PlaceSearch): Task<Placement> {
    const {group, work, until} = search;
    for (;;) {
      const link = usablePrimary(group);
      const remaining = until - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      if (link === undefined) {
        if (isElsewhere(search)) {
          return 'elsewhere';
        }
        const absence = absenceBeyond(search);
        if (absence !== undefined) {
          return absence;
        }
        yield* waitAtMost(
          group.changes.next(),
          Math.min(remaining, PROOF_PATIENCE),
        );
        continue;
      }
      if (link.isShutOut(work.account) && isElsewhere(search)) {
        return 'elsewhere';
      }
      if (work.isWrite) {
        return {link, after: undefined};
      }
      const after = yield* requiredPosition(search);
      if (after === 'again') {
        continue;
      }
      if (!isPosition(after)) {
        return after;
      }
      if (usablePrimary(group) === link) {
        return {link, after};
      }
    }
  }

  function* findReader(search: PlaceSearch): Task<Placement> {
    const {group, work, until, triedAt} = search;
    for (;;) {
      const after = yield* requiredPosition(search);
      if (after === 'again') {
        continue;
      }
      if (!isPosition(after)) {
        return after;
      }
      const link = chooseReader({
        group,
        kind: kindOf(work),
        user: work.account,
        position: after,
        triedAt,
        now: timer.now(),
      });
      if (link !== undefined) {
        return {link, after};
      }
      if (isShutOut(group.links(), work) && isElsewhere(search)) {
        return 'elsewhere';
      }
      const remaining = until - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      yield* waitAtMost(group.changes.next(), Math.min(remaining, LOOK_PERIOD));
    }
  }

  return {
    notePrimary,
    find: search =>
      search.work.needsPrimary ? findPrimary(search) : findReader(search),
    another({group, work, triedAt}, place) {
      if (work.needsPrimary || place.after === undefined) {
        return place;
      }
      const {after} = place;
      const now = timer.now();
      const kind = kindOf(work);
      const user = work.account;
      const position = after;
      const link = chooseReader({group, kind, user, position, triedAt, now});
      return link && {link, after};
    },
    isExpected(group, work) {
      const primary = usablePrimary(group);
      const places = work.needsPrimary ? [primary] : group.links();
      if (isShutOut(places, work)) {
        return false;
      }
      const proofAge = timer.now() - group.positions.coveredAt();
      return work.isWrite || proofAge < PROOF_AGE;
    },
  };
}
