/** Selects the target of a read from the known state of the group's targets. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import type {ConnectionUser} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

export interface ReadTargetCriteria {
  readonly group: TargetGroup;
  /** Statistics key of statements that take about the same time. */
  readonly kind: string;
  /** User that the connection is opened for. */
  readonly user: ConnectionUser;
  readonly isBegin: boolean;
  /** Log position that the target must have reached. */
  readonly position: LogPosition;
  /** Monotonic times at which targets were tried for this statement. */
  readonly triedAt: ReadonlyMap<string, Milliseconds>;
  readonly now: Milliseconds;
  /** Further condition; by default all targets are admitted. */
  isAdmitted?(link: TargetLink): boolean;
}

/**
 * How long a target is excluded after it lacked the position or was tried. A
 * replica without lag applies a commit within this time.
 */
const EXCLUSION_TIME_MS: Milliseconds = 60;
/**
 * Penalty of the primary for reads that a replica may serve, because such reads
 * delay the statements that need the primary.
 */
const PRIMARY_PENALTY_MS: Milliseconds = 10;

/**
 * Penalty of a target that accepts no connection now but may accept one soon.
 */
const NO_CONNECTION_PENALTY_MS: Milliseconds = 300;

/**
 * Penalty for a replica's lag: `Infinity` if its log lacked the position less
 * than `EXCLUSION_TIME_MS` ago, `EXCLUSION_TIME_MS` if its log is unknown, 0
 * otherwise.
 */
function lagPenalty(
  {group, position, now}: ReadTargetCriteria,
  link: TargetLink,
): Milliseconds {
  const log = group.positions.logOf(link.target);
  if (log === undefined) {
    return EXCLUSION_TIME_MS;
  }
  const lacks = compareLogPositions(log.position, position) < 0;
  const isCurrent = now - log.requestedAt < EXCLUSION_TIME_MS;
  return lacks && isCurrent ? Infinity : 0;
}

function isExcluded(
  {triedAt, now, isAdmitted}: ReadTargetCriteria,
  link: TargetLink,
): boolean {
  const lastTriedAt = triedAt.get(link.target) ?? -Infinity;
  return (
    !link.isReached() ||
    link.registration().isLeaving ||
    now - lastTriedAt < EXCLUSION_TIME_MS ||
    isAdmitted?.(link) === false
  );
}

/** True if the target may run the read, however long it takes. */
export function isEligible(
  criteria: ReadTargetCriteria,
  link: TargetLink,
): boolean {
  const isPrimary = link === criteria.group.leader();
  return (
    !isExcluded(criteria, link) &&
    (isPrimary || lagPenalty(criteria, link) < Infinity)
  );
}

function costOf(criteria: ReadTargetCriteria, link: TargetLink): Milliseconds {
  const time =
    link.expectedTime(criteria.kind) +
    link.setupTime(criteria.user) +
    (link.roundTrip() ?? 0);
  const isPrimary = link === criteria.group.leader();
  const connectionPenalty = link.isStarved(criteria.user)
    ? NO_CONNECTION_PENALTY_MS
    : link.connectionWait(criteria).untilRelease;
  return (
    time +
    connectionPenalty +
    (isPrimary ? PRIMARY_PENALTY_MS : lagPenalty(criteria, link))
  );
}

/**
 * Selects the target with the lowest sum of expected time and penalties;
 * undefined if none is eligible.
 */
export function selectReadTarget(
  criteria: ReadTargetCriteria,
): TargetLink | undefined {
  let best: TargetLink | undefined;
  let lowest = Infinity;
  for (const link of criteria.group.links()) {
    const cost = isExcluded(criteria, link) ? Infinity : costOf(criteria, link);
    if (cost < lowest) {
      lowest = cost;
      best = link;
    }
  }
  return best;
}
