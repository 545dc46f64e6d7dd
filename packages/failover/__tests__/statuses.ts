/** Creates statuses for tests of pure functions. */
import type {TargetStatus} from '@kelpstep/protocol';

/** Status of a replica at term 5 whose log ends in that term. */
export function statusAt(
  target: string,
  position: number,
  extra: Partial<TargetStatus> = {},
): TargetStatus {
  return {
    target,
    incarnation: `${target}-1`,
    role: 'replica',
    term: 5,
    end: {term: position > 0 ? 5 : 0, position},
    history: position > 0 ? [{term: 5, firstPosition: 1}] : [],
    slots: 3,
    connectionLimit: 20,
    ...extra,
  };
}
