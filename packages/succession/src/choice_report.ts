/** Describes a choice of a successor for the log. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import type {TargetStatus} from '@kelpstep/statements';

import type {ChoiceContext} from './choice_context';

/** Why a target was selected, passed over or left out. */
export type ChoiceVerdict =
  | 'selected'
  /** Its log holds every commit, but another target was selected. */
  | 'complete'
  | 'behind'
  /** The longest log, and yet a commit that was acknowledged may be missing. */
  | 'incomplete'
  | 'unanswered'
  /** Its process is not running, as connections are refused. */
  | 'down'
  /** It may receive records or acknowledge them. */
  | 'not stopped'
  /** It reports that it is primary. */
  | 'primary'
  /** The primary that is to be replaced. */
  | 'replaced'
  | 'demoted';

/** A target of the group as a choice considered it. */
export interface ConsideredTarget {
  readonly target: string;
  /** Its newest answer in this change; undefined without one. */
  readonly status: TargetStatus | undefined;
  /** Time since the answered request was sent; undefined without an answer. */
  readonly age: Milliseconds | undefined;
  readonly verdict: ChoiceVerdict;
  /** Time since which its registration is missing; undefined if it is listed. */
  readonly missingFor?: Milliseconds | undefined;
}

/** A target's answer, and when the answered request was sent. */
export interface TimedAnswer {
  readonly status: TargetStatus;
  readonly requestedAt: Milliseconds;
}

/** One choice of a successor, successful or not. */
export interface SuccessionChoice {
  readonly epoch: number;
  /** Term for which replication was stopped. */
  readonly term: number;
  /** The selected target; empty if none was selected. */
  readonly selected: string;
  readonly considered: readonly ConsideredTarget[];
  readonly context: ChoiceContext;
}

/** Formats a log end as `TERM.POSITION`; `unknown` without one. */
export function formatLogEnd(end: LogPosition | undefined): string {
  return end === undefined ? 'unknown' : `${end.term}.${end.position}`;
}

/**
 * Formats a considered target as `TARGET VERDICT`, followed by role, term, log
 * end, held term and age of its answer if there is one, and by the time since
 * which its registration is missing. Times are in ms.
 */
export function formatConsidered({
  target,
  status,
  age,
  verdict,
  missingFor,
}: ConsideredTarget): string {
  const missing =
    missingFor === undefined ? '' : ` missing ${Math.round(missingFor)}`;
  if (status === undefined || age === undefined) {
    return `${target} ${verdict}${missing}`;
  }
  const {role, term, received, termHeld} = status;
  const end = formatLogEnd(received);
  return `${target} ${verdict} ${role} term ${term} end ${end} held ${termHeld} age ${Math.round(age)}${missing}`;
}
