/** The end of a target's log as far as this proxy knows it, for logs. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';

import type {GroupPositions} from './group_positions';

/** The highest end that the target reported; undefined if it has reported none. */
export function knownLogEnd(
  positions: Pick<GroupPositions, 'receivedEnd' | 'logOf'>,
  target: string,
): LogPosition | undefined {
  const received = positions.receivedEnd(target);
  const applied = positions.logOf(target)?.position;
  if (received === undefined || applied === undefined) {
    return received ?? applied;
  }
  return compareLogPositions(received, applied) < 0 ? applied : received;
}
