/** Selects the target of a read from the known state of the group's targets. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import type {ConnectionUser} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

/** Inputs of the selection. */
export interface ReaderChoice {
  readonly group: TargetGroup;
  /** Statistics key of statements that take about the same time. */
  readonly kind: string;
  /** User that the connection is opened for. */
  readonly user: ConnectionUser;
  /** Log position that the target must have reached. */
  readonly position: LogPosition;
  /** Monotonic times at which targets were tried for this statement. */
  readonly triedAt: ReadonlyMap<string, Milliseconds>;
  readonly now: Milliseconds;
}

/**
 * How long a target is excluded after it lacked the position or was tried. A
 * replica without lag applies a commit within this time.
 */
const LAG_MEMORY: Milliseconds = 60;
/**
 * Added to the primary's expected time for reads that a replica may serve,
 * because they delay the statements that need the primary.
 */
const PRIMARY_RELUCTANCE: Milliseconds = 10;

/** Added if the target accepts no connection now; it may accept one soon. */
const SHUT_OUT_COST: Milliseconds = 300;

/** Added for a replica's lag; `Infinity` if its log lacks the position. */
function lagCost(
  {group, position, now}: ReaderChoice,
  link: TargetLink,
): Milliseconds {
  const log = group.positions.logOf(link.target);
  if (log === undefined) {
    return LAG_MEMORY;
  }
  const lacks = compareLogPositions(log.position, position) < 0;
  const isKnownNow = now - log.askedAt < LAG_MEMORY;
  return lacks && isKnownNow ? Infinity : 0;
}

function isOut({triedAt, now}: ReaderChoice, link: TargetLink): boolean {
  const tried = triedAt.get(link.target) ?? -Infinity;
  return (
    !link.isReached() ||
    link.registration().isLeaving ||
    now - tried < LAG_MEMORY
  );
}

function costOf(choice: ReaderChoice, link: TargetLink): Milliseconds {
  const time = link.expectedTime(choice.kind) + (link.roundTrip() ?? 0);
  const isPrimary = link === choice.group.leader();
  const shutOutCost = link.isShutOut(choice.user) ? SHUT_OUT_COST : 0;
  return (
    time +
    shutOutCost +
    (isPrimary ? PRIMARY_RELUCTANCE : lagCost(choice, link))
  );
}

/** The target expected to answer first; undefined if none is eligible. */
export function chooseReader(choice: ReaderChoice): TargetLink | undefined {
  let best: TargetLink | undefined;
  let lowest = Infinity;
  for (const link of choice.group.links()) {
    const cost = isOut(choice, link) ? Infinity : costOf(choice, link);
    if (cost < lowest) {
      lowest = cost;
      best = link;
    }
  }
  return best;
}
