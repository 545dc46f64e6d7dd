/** Rules that apply to the status of a single member. */
import type {TargetStatus} from '@kelpstep/protocol';

/** The part of a status that confirmation and promotion depend on. */
export type MemberLog = Pick<
  TargetStatus,
  | 'target'
  | 'role'
  | 'term'
  | 'end'
  | 'history'
  | 'catchingUp'
  | 'configuration'
>;

/**
 * True if the member's state allows it to count towards a majority. A member
 * that restarted empty may have lost records and fences that it had
 * acknowledged, so it counts again only after catching up with its primary.
 */
export function canVote(log: MemberLog): boolean {
  return log.end.position > 0 && log.catchingUp !== true;
}

/** Returns the primary with the highest term, if any status is a primary's. */
export function findPrimary<L extends MemberLog>(
  logs: readonly L[],
): L | undefined {
  let best: L | undefined;
  for (const log of logs) {
    if (log.role === 'primary' && log.term > (best?.term ?? -1)) {
      best = log;
    }
  }
  return best;
}
