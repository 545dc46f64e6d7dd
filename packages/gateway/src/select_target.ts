/** Selects the target at which a statement may run, or waits for one. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  waitWithTimeout,
} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {selectAdmittedTarget} from './admitted_target';
import {type DispatchRequest, statementKindOf} from './dispatch_types';
import {type NoTarget, createLateRefusals} from './late_refusals';
import type {PrimaryState} from './primary_outage';
import {proofState} from './proof_outage';
import type {ReadTargetCriteria} from './select_read_target';

/** A target, and the log position that it must have reached, if any. */
export interface SelectedTarget {
  readonly link: TargetLink;
  readonly after: LogPosition | undefined;
  /** True if the read is a trial after the target's ejection. */
  readonly isTrial?: boolean;
}

/**
 * Where a statement may run. `elsewhere`: a peer may have a target for it;
 * undefined: no target was available in time.
 */
export type SelectionResult =
  SelectedTarget | NoTarget | 'elsewhere' | undefined;

export interface TargetSearch {
  readonly group: TargetGroup;
  readonly work: DispatchRequest;
  /** Monotonic time at which the selection is given up. */
  readonly waitUntil: Milliseconds;
  /** Monotonic times at which targets were tried for this statement. */
  readonly triedAt: ReadonlyMap<string, Milliseconds>;
  /** True if a peer may be tried while no target is available here. */
  mayTryPeers(): boolean;
}

export interface TargetSelectorOptions {
  readonly runtime: Runtime;
  /** True while the group's primary is being replaced. */
  isPrimaryChanging(group: string): boolean;
}

/**
 * Selects targets by the known state of a group, and waits for changes of the
 * state if no target is suitable.
 */
export interface TargetSelector {
  find(search: TargetSearch): Task<SelectionResult>;
  /**
   * A target for a second attempt; undefined if there is none. It is the same
   * target again if the statement needs the primary.
   */
  selectAlternative(
    search: TargetSearch,
    selected: SelectedTarget,
  ): SelectedTarget | undefined;
  /**
   * A target for a read that a target's queue has refused; undefined if none
   * other than those in `refusedBy` is expected to start it in time.
   */
  selectAfterRefusal(
    search: TargetSearch,
    selected: SelectedTarget,
    refusedBy: ReadonlySet<string>,
  ): SelectedTarget | undefined;
  /**
   * Samples the states of the group's primary and of its proof of freshness; to
   * be called on every tick.
   */
  observe(group: TargetGroup): void;
  /**
   * Targets of which one is expected to be selected without waiting; undefined
   * if none is.
   */
  linksFor(
    group: TargetGroup,
    request: DispatchRequest,
  ): readonly TargetLink[] | undefined;
}

/**
 * Part of a route's maximum staleness that is reserved for the network delay
 * from the caller to this proxy and from here to the target.
 */
const STALENESS_MARGIN_MS: Milliseconds = 150;
/** Interval between attempts to select a target for a read. */
const TARGET_POLL_INTERVAL_MS: Milliseconds = 15;
/**
 * How long to wait for a proof of freshness before trying a peer: two round
 * trips between regions and the time to answer.
 */
const FRESHNESS_PROOF_TIMEOUT_MS: Milliseconds = 120;
/**
 * Maximum age of a proof of freshness with which a read is expected to run at
 * once. Traffic and status probes keep the proof younger than this.
 */
export const MAXIMUM_PROOF_AGE_MS: Milliseconds = 1000;

function isPosition(
  after: LogPosition | NoTarget | string | undefined,
): after is LogPosition {
  return typeof after === 'object' && 'term' in after;
}

/** True if no target accepts a connection of this proxy for the account. */
function cannotConnect(
  links: ReadonlyArray<TargetLink | undefined>,
  {account}: DispatchRequest,
): boolean {
  return links.every(link => link?.isStarved(account) ?? true);
}

export function createTargetSelector(
  options: TargetSelectorOptions,
): TargetSelector {
  const {timer} = options.runtime;
  const refusals = createLateRefusals({timer, primaryState});

  function primaryState(group: TargetGroup): PrimaryState {
    if (usablePrimary(group) !== undefined) {
      return 'present';
    }
    const primary = group.leader();
    const isLeaving = primary?.registration().isLeaving ?? false;
    return isLeaving && primary?.isReached() ? 'leaving' : 'lost';
  }

  function requiredCoverageTime({
    route,
    arrivedAt,
  }: DispatchRequest): Milliseconds {
    if (route.freshness === 'primary') {
      return arrivedAt;
    }
    const usable = Math.max(0, route.maximumStaleness - STALENESS_MARGIN_MS);
    return arrivedAt - usable;
  }

  /**
   * Ends the selection of a statement whose proof of freshness can't be obtained
   * here and isn't expected in time; undefined if it may wait for the proof.
   */
  function endWithoutProof(
    search: TargetSearch,
    coverageTime: Milliseconds,
  ): NoTarget | 'elsewhere' | undefined {
    const {group, waitUntil} = search;
    // The state is checked first: it is cheap, and there is rarely an outage.
    if (
      proofState(group) === 'present' ||
      group.positions.lowestCovering(coverageTime) !== undefined
    ) {
      return undefined;
    }
    return shouldTryPeers(search)
      ? 'elsewhere'
      : refusals.ifProofIsLate(group, waitUntil);
  }

  /**
   * The log position that the target must have reached. `again`: it is not
   * known yet, but there is time left; undefined: there is no time left. Other
   * values end the selection.
   */
  function* requiredPosition(
    search: TargetSearch,
  ): Task<LogPosition | NoTarget | 'again' | 'elsewhere' | undefined> {
    const {group, work: request, waitUntil} = search;
    const coverageTime = requiredCoverageTime(request);
    const early = endWithoutProof(search, coverageTime);
    if (early !== undefined) {
      return early;
    }
    // Only a primary proves freshness, and it may be lost during the wait.
    const covering = yield* group.awaitCovering(
      coverageTime,
      Math.min(waitUntil, timer.now() + FRESHNESS_PROOF_TIMEOUT_MS),
    );
    if (covering === undefined) {
      if (shouldTryPeers(search)) {
        return 'elsewhere';
      }
      return (
        refusals.ifPrimaryIsLate(group, waitUntil) ??
        (timer.now() >= waitUntil ? undefined : 'again')
      );
    }
    const {lastCommit} = request;
    if (lastCommit === undefined) {
      return covering;
    }
    return compareLogPositions(covering, lastCommit) < 0
      ? lastCommit
      : covering;
  }

  function usablePrimary(group: TargetGroup): TargetLink | undefined {
    const primary = group.leader();
    const isUsable =
      primary !== undefined &&
      primary.isReached() &&
      !primary.registration().isLeaving &&
      !options.isPrimaryChanging(group.group);
    return isUsable ? primary : undefined;
  }

  /**
   * True if a peer may be tried. Peers can't help while the primary is
   * replaced, because all proxies wait for the same new one.
   */
  function shouldTryPeers({group, mayTryPeers}: TargetSearch): boolean {
    return !options.isPrimaryChanging(group.group) && mayTryPeers();
  }

  function* selectPrimary(search: TargetSearch): Task<SelectionResult> {
    const {group, work: request, waitUntil} = search;
    for (;;) {
      const link = usablePrimary(group);
      const remaining = waitUntil - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      if (link === undefined) {
        if (shouldTryPeers(search)) {
          return 'elsewhere';
        }
        const late = refusals.ifPrimaryIsLate(group, waitUntil);
        if (late !== undefined) {
          return late;
        }
        yield* waitWithTimeout(
          group.changes.next(),
          Math.min(remaining, FRESHNESS_PROOF_TIMEOUT_MS),
        );
        continue;
      }
      // A peer that reaches more targets knows the primary better: with two
      // unresponsive targets it may have been replaced without notice here.
      const isDoubtful = request.isWrite && proofState(group) === 'unproved';
      const isUnsuitable = isDoubtful || link.isStarved(request.account);
      if (isUnsuitable && shouldTryPeers(search)) {
        return 'elsewhere';
      }
      if (request.isWrite) {
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

  function criteriaOf(
    {group, work: request, triedAt}: TargetSearch,
    position: LogPosition,
  ): ReadTargetCriteria {
    return {
      group,
      kind: statementKindOf(request),
      user: request.account,
      isBegin: request.statement.kind === 'begin',
      position,
      triedAt,
      now: timer.now(),
    };
  }

  function* selectForRead(search: TargetSearch): Task<SelectionResult> {
    const {group, work: request, waitUntil} = search;
    for (;;) {
      const after = yield* requiredPosition(search);
      if (after === 'again') {
        continue;
      }
      if (!isPosition(after)) {
        return after;
      }
      const admitted = selectAdmittedTarget(criteriaOf(search, after), true);
      if (admitted !== undefined) {
        return {...admitted, after};
      }
      if (cannotConnect(group.links(), request) && shouldTryPeers(search)) {
        return 'elsewhere';
      }
      const remaining = waitUntil - timer.now();
      if (remaining <= 0) {
        return undefined;
      }
      yield* waitWithTimeout(
        group.changes.next(),
        Math.min(remaining, TARGET_POLL_INTERVAL_MS),
      );
    }
  }

  return {
    observe: refusals.observe,
    find: search =>
      search.work.needsPrimary ? selectPrimary(search) : selectForRead(search),
    selectAlternative(search, selected) {
      const {after} = selected;
      if (search.work.needsPrimary || after === undefined) {
        return selected;
      }
      const admitted = selectAdmittedTarget(criteriaOf(search, after), false);
      return admitted && {link: admitted.link, after};
    },
    selectAfterRefusal(search, {after}, refusedBy) {
      if (after === undefined) {
        return undefined;
      }
      const remaining = search.waitUntil - timer.now();
      const criteria: ReadTargetCriteria = {
        ...criteriaOf(search, after),
        isAdmitted: link =>
          !refusedBy.has(link.target) && link.startWait() <= remaining,
      };
      const admitted = selectAdmittedTarget(criteria, false);
      return admitted && {link: admitted.link, after};
    },
    linksFor(group, request) {
      const primary = usablePrimary(group);
      const links = request.needsPrimary ? [primary] : group.links();
      if (cannotConnect(links, request)) {
        return undefined;
      }
      const proofAge = timer.now() - group.positions.coveredAt();
      const isProved = request.isWrite || proofAge < MAXIMUM_PROOF_AGE_MS;
      return isProved ? links.filter(link => link !== undefined) : undefined;
    },
  };
}
