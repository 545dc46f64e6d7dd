/**
 * Selects the target of a read among those that outlier detection admits.
 *
 * Load: reads that several targets could serve, while one of these has been
 * ejected or returns after its recovery.
 */
import type {OutlierDetection, TargetLink} from '@kelpstep/targets';

import {
  type ReadTargetCriteria,
  isEligible,
  selectReadTarget,
} from './select_read_target';

/** A target, and whether the read is a trial after the target's ejection. */
export interface AdmittedTarget {
  readonly link: TargetLink;
  readonly isTrial: boolean;
}

/** True if the link can start the read without waiting. */
function startsAtOnce(criteria: ReadTargetCriteria, link: TargetLink): boolean {
  return (
    isEligible(criteria, link) &&
    !link.isStarved(criteria.user) &&
    link.startWait() === 0 &&
    link.connectionWait(criteria).untilRelease === 0
  );
}

/**
 * Selects a returning target if the read is its next trial or belongs to its
 * share. It is selected whatever its expected time, which may date from before
 * its recovery.
 */
function selectReturning(
  criteria: ReadTargetCriteria,
  outliers: OutlierDetection,
): AdmittedTarget | undefined {
  for (const link of criteria.group.links()) {
    const admission = outliers.admission(link.target);
    const isTrial = admission === 'trial' && !criteria.isBegin;
    const isCandidate = isTrial || admission === 'share';
    if (
      isCandidate &&
      startsAtOnce(criteria, link) &&
      (isTrial || outliers.takesShare(link.target))
    ) {
      return {link, isTrial};
    }
  }
  return undefined;
}

/**
 * Selects the target of a read; undefined if none is eligible. Ejected targets
 * are selected only if no other may run the read. `mayTry` is false for second
 * attempts, which are not sent to a target that has yet to recover.
 */
export function selectAdmittedTarget(
  criteria: ReadTargetCriteria,
  mayTry: boolean,
): AdmittedTarget | undefined {
  const {outliers} = criteria.group;
  if (outliers === undefined) {
    const link = selectReadTarget(criteria);
    return link && {link, isTrial: false};
  }
  const returning = mayTry ? selectReturning(criteria, outliers) : undefined;
  if (returning !== undefined) {
    return returning;
  }
  const isIn = ({target}: TargetLink) => outliers.admission(target) === 'all';
  const isAdmitted = (link: TargetLink) =>
    isIn(link) && (criteria.isAdmitted?.(link) ?? true);
  // Targets that were tried or have refused the read could run another one.
  const untried: ReadTargetCriteria = {
    ...criteria,
    triedAt: new Map(),
    isAdmitted: () => true,
  };
  const mayAnyRun = criteria.group
    .links()
    .some(link => isIn(link) && isEligible(untried, link));
  const link = selectReadTarget(
    mayAnyRun ? {...criteria, isAdmitted} : criteria,
  );
  return link && {link, isTrial: false};
}
