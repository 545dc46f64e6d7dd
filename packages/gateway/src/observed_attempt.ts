/**
 * Reports an attempt of a read to the outlier detection of its group.
 *
 * Load: a target that leaves statements unanswered is noticed after the hedge
 * delay, well before the first statement times out.
 */
import type {TimerService} from '@kelpstep/runtime';
import type {
  AttemptEnd,
  ObservedAttempt,
  OutlierDetection,
  StatementOutcome,
  TargetLink,
  Trial,
} from '@kelpstep/targets';

import {type DispatchRequest, statementKindOf} from './dispatch_types';

/** Receives the progress of one attempt. */
export interface AttemptObserver {
  onSent(): void;
  /** The attempt is unanswered for its hedge delay. */
  onUnanswered(): void;
  onEnd(outcome: StatementOutcome): void;
}

/** Where and how an attempt is made. */
export interface AttemptPlace {
  readonly timer: TimerService;
  readonly outliers: OutlierDetection | undefined;
  readonly link: TargetLink;
  readonly isTrial: boolean;
}

/**
 * Limit of concurrent statements at which `busy` answers count as failures. At
 * a higher one this proxy may itself have filled the target's queue.
 */
const LIMIT_WITHOUT_OWN_LOAD = 2;

const UNOBSERVED: AttemptObserver = {
  onSent: () => {},
  onUnanswered: () => {},
  onEnd: () => {},
};

/** True for statements that write nothing and may run at a replica. */
function isRead({isWrite, statement}: DispatchRequest): boolean {
  return !isWrite && (statement.kind !== 'begin' || statement.readOnly);
}

/** What the outcome tells about the target. */
export function attemptEndOf(
  outcome: StatementOutcome,
  concurrencyLimit: number,
): AttemptEnd {
  if (outcome.kind !== 'answered') {
    return outcome.kind === 'lost' ? 'unanswered' : 'ignored';
  }
  switch (outcome.answer.error?.name) {
    case 'failed':
      return 'failing';
    case 'busy':
      return concurrencyLimit < LIMIT_WITHOUT_OWN_LOAD ? 'failing' : 'ignored';
    case 'lagging':
    case 'readOnly':
    case 'tooManyConnections':
      return 'ignored';
    default:
      return 'answered';
  }
}

function observeTrial(
  trial: Trial,
  {timer, link}: AttemptPlace,
): AttemptObserver {
  return {
    onSent() {
      timer.after(trial.answerTime, () => trial.end('failure'));
    },
    onUnanswered: () => {},
    onEnd(outcome) {
      const end = attemptEndOf(outcome, link.concurrencyLimit());
      const isSuccess = end === 'answered';
      trial.end(isSuccess ? 'success' : end === 'ignored' ? 'none' : 'failure');
    },
  };
}

/** Creates the observer of an attempt that is about to start. */
export function createAttemptObserver(
  place: AttemptPlace,
  request: DispatchRequest,
): AttemptObserver {
  const {outliers, link, isTrial} = place;
  const {target} = link;
  const kind = statementKindOf(request);
  if (outliers === undefined || !isRead(request)) {
    return UNOBSERVED;
  }
  if (isTrial) {
    return observeTrial(outliers.startTrial(target, kind), place);
  }
  let attempt: ObservedAttempt | undefined;
  return {
    onSent() {
      attempt = outliers.observe(target, kind);
    },
    onUnanswered: () => attempt?.markUnanswered(),
    onEnd: outcome =>
      attempt?.end(attemptEndOf(outcome, link.concurrencyLimit())),
  };
}
