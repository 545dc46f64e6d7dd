/** Which target serves a read: a function of what is known of all of them. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import type {ConnectionUser} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

/** What the choice goes by. */
export interface ReaderChoice {
  readonly group: TargetGroup;
  /** Names statements that take about the same time. */
  readonly kind: string;
  /** Who the connection is for. */
  readonly user: ConnectionUser;
  /** The target's log must hold it. */
  readonly position: LogPosition;
  /** When targets were tried for this statement. */
  readonly triedAt: ReadonlyMap<string, Milliseconds>;
  readonly now: Milliseconds;
}

/**
 * For so long a target that lacked the position, or was tried, is left out. A
 * replica in step applies a commit within this time.
 */
const LAG_MEMORY: Milliseconds = 60;
/**
 * Added to the primary's expected time for work that a replica may do: what
 * only the primary may do waits behind it.
 */
const PRIMARY_RELUCTANCE: Milliseconds = 10;

/** A target that takes no connection may take one soon. */
const SHUT_OUT_COST: Milliseconds = 300;

/** Time by which the target is worse than an idle one that is near. */
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

/** The target that is expected to answer first; undefined if none may. */
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
