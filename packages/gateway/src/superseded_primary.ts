/**
 * Answers to writes of a primary whose successor's promotion is ordered. The
 * successor may lack them, so the caller must not take them for confirmed.
 */
import {errorAnswer} from '@kelpstep/statements';

import type {DispatchResult} from './dispatch_types';

/** Reason of a request whose success was withheld. */
export const SUPERSEDED_PRIMARY = 'superseded primary';

/** Replaces a success by an unknown outcome; leaves failures as they are. */
export function withoutSuccess(result: DispatchResult): DispatchResult {
  return result.answer.error === undefined
    ? {
        ...result,
        answer: errorAnswer('inDoubt', 'idle'),
        reason: SUPERSEDED_PRIMARY,
      }
    : result;
}
