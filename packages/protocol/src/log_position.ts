/**
 * Positions in a group's replicated log. A record is identified by the term in
 * which it was written and its position. Positions start at 1; position 0 is
 * the end of the empty log.
 */
import {z} from 'zod';

const counterSchema = z
  .number()
  .int()
  .nonnegative()
  .max(Number.MAX_SAFE_INTEGER);

/** A term. Higher terms supersede lower ones; 0 is the term of an empty log. */
export const termSchema = counterSchema;

/** Position of a record, or `EMPTY_LOG_END` for the end of an empty log. */
export const logPositionSchema = z.strictObject({
  term: counterSchema,
  position: counterSchema,
});
export type LogPosition = z.infer<typeof logPositionSchema>;

/** The first position written in a term. */
export const termStartSchema = z.strictObject({
  term: counterSchema,
  firstPosition: counterSchema,
});
export type TermStart = z.infer<typeof termStartSchema>;

/** The starts of all terms of a log, in ascending order. */
export const termHistorySchema = z.array(termStartSchema).readonly();
export type TermHistory = z.infer<typeof termHistorySchema>;

/** The end of an empty log. */
export const EMPTY_LOG_END: LogPosition = {term: 0, position: 0};

/** Compares by age: negative if `left` is older, positive if it is newer. */
export function compareLogPositions(
  left: LogPosition,
  right: LogPosition,
): number {
  return left.term - right.term || left.position - right.position;
}

/** The term in which the record at a position was written, or 0 if unknown. */
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
 * True if the log with this history and end contains the record `wanted`.
 * Every log contains the end of the empty log.
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
