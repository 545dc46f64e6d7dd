/** Tells a group's primary and pending promotion from its row. */
import type {TargetGroup} from '@kelpstep/targets';

import type {ReplacedPrimary} from './replication_hold';
import type {Succession} from './succession_row';

/**
 * Returns the primary according to the row, for a proxy that knows an older
 * one or none. Undefined if the row does not tell the term: the target may then
 * have been replaced without being recorded.
 */
export function recordedPrimary(
  group: TargetGroup,
  row: Succession | undefined,
): ReplacedPrimary | undefined {
  const name = row?.phase === 'done' ? row.target : row?.from;
  const link = name === undefined ? undefined : group.link(name);
  if (row?.term === undefined || link === undefined) {
    return undefined;
  }
  const {demotedEnd, targetEnd: completeEnd} = row;
  return row.phase === 'done'
    ? {link, term: row.term}
    : {link, term: row.term, demotedEnd, completeEnd};
}

/** Returns the newest primary that this proxy or the row knows. */
export function findPrimary(
  group: TargetGroup,
  row: Succession | undefined,
): ReplacedPrimary | undefined {
  const recorded = recordedPrimary(group, row);
  const leadership = group.positions.leader();
  const link = group.leader();
  if (leadership === undefined || link === undefined) {
    return recorded;
  }
  const {term} = leadership;
  return recorded !== undefined && recorded.term >= term
    ? recorded
    : {link, term};
}

/**
 * Returns the target of a recorded promotion order; '' if there is none, or if
 * the target has led and is lost. Such an order may still take effect whether
 * the target is reached or not, also again after it has taken effect.
 */
export function findPendingTarget(
  group: TargetGroup,
  row: Succession | undefined,
): string {
  if (row?.phase !== 'ordered') {
    return '';
  }
  const primary = findPrimary(group, row)?.link;
  const hasLed = primary?.target === row.target;
  return hasLed && !primary.isReached() ? '' : row.target;
}
