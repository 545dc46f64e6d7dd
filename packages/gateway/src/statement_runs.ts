/**
 * Counts the attempts of a statement that may have run, which are charged to
 * its account's quota. Does no I/O.
 *
 * Load pattern: targets refuse many statements of an account (`lagging`,
 * `busy`, refused connections), which must not use up its quota.
 */
import type {StatementErrorName} from '@kelpstep/statements';
import type {StatementOutcome} from '@kelpstep/targets';

/**
 * Errors of a target that has not begun to run the statement: the same
 * statement may be tried again.
 */
export const REFUSED_BY_TARGET: ReadonlySet<StatementErrorName> = new Set([
  'busy',
  'lagging',
  'readOnly',
  'misrouted',
  'tooManyConnections',
  'notPrepared',
]);

/** Attempts of one statement that may have run, here and at peers. */
export interface RunCounter {
  add(count: number): void;
  total(): number;
}

/** Creates a counter at 0. */
export function createRunCounter(): RunCounter {
  let runs = 0;
  return {
    add(count) {
      runs += count;
    },
    total: () => runs,
  };
}

/** An attempt that was started; it may still be queued. */
export interface TrackedAttempt {
  isSent: boolean;
  /** Undefined until the attempt has ended. */
  outcome: StatementOutcome | undefined;
}

/** True if the attempt was sent and its target has not refused it. */
export function mayHaveRun({isSent, outcome}: TrackedAttempt): boolean {
  switch (outcome?.kind) {
    case undefined:
      return isSent;
    case 'answered': {
      const {error} = outcome.answer;
      return error === undefined || !REFUSED_BY_TARGET.has(error.name);
    }
    case 'lost':
      return true;
    case 'refused':
    case 'withdrawn':
    case 'unreached':
      return false;
  }
}
