/** What a group may conclude from one member's status. */
import type {TargetStatus} from '@kelpstep/protocol';

/** The part of a status that confirmation and promotion look at. */
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
 * True if the member counts towards majorities. One that started empty may
 * have forgotten records and fences that it had agreed to, so it counts again
 * only when it has caught up with its primary.
 */
export function isVoter(log: MemberLog): boolean {
  return log.end.position > 0 && log.catchingUp !== true;
}

/** The status of the primary of the highest term, if one is among them. */
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
