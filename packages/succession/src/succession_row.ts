/**
 * Defines the table row that records a change of a group's primary and its
 * phase.
 */
import {logPositionSchema} from '@kelpstep/protocol';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import {z} from 'zod';

/** Prefix of the row keys, which is followed by the name of the group. */
export const SUCCESSION_KEY_PREFIX = 'succession/';

/**
 * `stopping`: replicas are being paused and compared. `ordered`: the promotion
 * was or is about to be ordered and may take effect at any time. `done`: the
 * target is primary. `abandoned`: the change ended before any promotion was
 * ordered.
 */
export const successionPhaseSchema = z.enum([
  'stopping',
  'ordered',
  'done',
  'abandoned',
]);
export type SuccessionPhase = z.infer<typeof successionPhaseSchema>;

/** Epochs that each era of the store has for itself. */
const EPOCHS_PER_ERA = 1_000_000;

/**
 * Epoch of the next change after one with `epoch`. It is above all epochs of
 * earlier eras, of which the store may have lost the last ones.
 */
export function nextEpoch(epoch: number, era: number): number {
  return Math.max(epoch, era * EPOCHS_PER_ERA) + 1;
}

/**
 * A change by another proxy may be taken over once its row has not been written
 * for this long.
 */
export const OTHER_PROXY_STEP_TIMEOUT_MS: Milliseconds = 2500;

/**
 * Number of epochs that a holder reserves with each write of the row, so that it
 * can repeat an order while the store is unavailable.
 */
export const EPOCHS_PER_WRITE = 64;

/** Value of a group's row: the last change of primary. */
export const successionSchema = z.object({
  /**
   * Highest fencing token that the holder may use; it increases with each
   * change, and each order has its own.
   */
  epoch: z.number().int().nonnegative(),
  /** Id of the proxy that performs the change. */
  holder: z.string(),
  phase: successionPhaseSchema,
  /** Primary to be replaced; empty if none was known. */
  from: z.string(),
  /** Target to be promoted; empty until it has been selected. */
  target: z.string(),
  /**
   * Term in which `target` leads if the phase is `done`, and otherwise in which
   * `from` led; older versions don't record it.
   */
  term: z.number().int().nonnegative().optional(),
  /** Log end of `from` when it was demoted for this change. */
  demotedEnd: logPositionSchema.optional(),
  /** Log end of `target` when it was selected, which holds all commits. */
  targetEnd: logPositionSchema.optional(),
  /**
   * True once a promotion of another target than `target` was ordered in this or
   * an unfinished earlier change. It may take effect before or after that of
   * `target`, so no target's commits are safe before the change is done.
   */
  contested: z.boolean().optional(),
});
export type Succession = z.infer<typeof successionSchema>;

/** The platform's answer to a promotion order. */
export type PromotionReply =
  | 'done'
  /**
   * The order was refused: a higher epoch was used, or the target is not
   * running.
   */
  | 'fenced'
  /** The order was not executed for another reason. */
  | 'refused'
  /**
   * There was no reply; the order may have been executed or may still be
   * executed.
   */
  | 'unanswered';

/**
 * A promotion order to the platform; `holder` and `epoch` are those of the row.
 */
export interface PromotionOrder {
  readonly group: string;
  readonly target: string;
  readonly holder: string;
  readonly epoch: number;
}

/**
 * Orders a promotion from the platform; an adapter implements it. Once `abandoned`
 * settles, the order must not arrive at the platform any more.
 */
export type OrderPromotion = (
  order: PromotionOrder,
  abandoned: Future<undefined>,
) => Future<PromotionReply>;
