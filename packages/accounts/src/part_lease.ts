/**
 * A proxy's own part of all quotas, and which proxy it is lent to. Without input and
 * output.
 *
 * Fault pattern: a message that tells of the loan is held back for seconds, or the
 * borrower is lost while it counts. The part is never counted in two places: a loan
 * ends by the borrower's own clock, of which this proxy knows a reading, and it is
 * lent anew only when that time has certainly passed.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** A borrower's reading of its clock. */
export interface ClockReading {
  /** Drawn by the borrower's process: clocks of two processes don't compare. */
  readonly process: string;
  readonly time: Milliseconds;
}

/** What a borrower is told: a loan, or without a reading a question for one. */
export interface LoanOffer {
  readonly reading: ClockReading | undefined;
}

/** Where the own part is. */
export interface PartLease {
  /** Undefined while the part is with another borrower. */
  offerTo(borrower: string, now: Milliseconds): LoanOffer | undefined;
  /** A borrower told its clock; `receivedAt` is by this proxy's. */
  noteReading(
    borrower: string,
    reading: ClockReading,
    receivedAt: Milliseconds,
  ): void;
}

/** A loan ends so long after the clock reading that it was offered with. */
export const LOAN_TIME: Milliseconds = 1600;

interface KnownReading {
  readonly borrower: string;
  readonly reading: ClockReading;
  readonly receivedAt: Milliseconds;
}

/** Creates a lease that is with nobody. */
export function createPartLease(): PartLease {
  let known: KnownReading | undefined;
  let lentTo = '';
  let lentUntil: Milliseconds = -Infinity;

  return {
    offerTo(borrower, now) {
      if (borrower !== lentTo && now < lentUntil) {
        return undefined;
      }
      const isKnown =
        known?.borrower === borrower && now < known.receivedAt + LOAN_TIME;
      if (known === undefined || !isKnown) {
        return {reading: undefined};
      }
      lentTo = borrower;
      lentUntil = known.receivedAt + LOAN_TIME;
      return {reading: known.reading};
    },
    noteReading(borrower, reading, receivedAt) {
      known = {borrower, reading, receivedAt};
    },
  };
}
