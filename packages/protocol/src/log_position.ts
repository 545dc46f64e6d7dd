/**
 * Positions in a group's replicated log. A record is named by the term in
 * which it was written and its position; positions count records from 1 and
 * position 0 is the empty log.
 */
import {z} from 'zod';

const counter = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

/** A term: higher ones win. 0 is the term of an empty log. */
export const termSchema = counter;

/** A record of a group's log, or the empty log's end `{term: 0, position: 0}`. */
export const logPositionSchema = z.strictObject({
  term: counter,
  position: counter,
});
export type LogPosition = z.infer<typeof logPositionSchema>;

/** The first position that was written in a term. */
export const termStartSchema = z.strictObject({
  term: counter,
  firstPosition: counter,
});
export type TermStart = z.infer<typeof termStartSchema>;

/** Starts of all terms of a log in rising order. */
export const termHistorySchema = z.array(termStartSchema).readonly();
export type TermHistory = z.infer<typeof termHistorySchema>;

/** The end of an empty log. */
export const EMPTY_LOG_END: LogPosition = {term: 0, position: 0};

/** Negative, zero or positive as `left` is older than, equal to or newer. */
export function compareLogPositions(
  left: LogPosition,
  right: LogPosition,
): number {
  return left.term - right.term || left.position - right.position;
}

/** The term in which the record at a position was written; 0 if unknown. */
export function termAt(history: TermHistory, position: number): number {
  for (let index = history.length - 1; index >= 0; index--) {
    const start = history[index];
    if (start !== undefined && start.firstPosition <= position) {
      return start.term;
    }
  }
  return 0;
}

/**
 * True if a log that ends at `end` and has this history holds the record
 * `wanted`. Any log holds the empty log's end.
 */
export function logContains(
  history: TermHistory,
  end: LogPosition,
  wanted: LogPosition,
): boolean {
  if (wanted.position === 0) {
    return true;
  }
  return (
    wanted.position <= end.position &&
    termAt(history, wanted.position) === wanted.term
  );
}
