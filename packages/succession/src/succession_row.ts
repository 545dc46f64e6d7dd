/** The table row that records a change of a group's primary and its phase. */
import type {Future} from '@kelpstep/runtime';
import {z} from 'zod';

/** Prefix of the row keys; followed by the name of the group. */
export const SUCCESSION_PREFIX = 'succession/';

/**
 * `stopping`: replicas are being paused and compared. `ordered`: the promotion
 * was or is about to be ordered and may take effect at any time. `done`: the
 * target is primary. `abandoned`: ended before any promotion was ordered.
 */
export const successionPhaseSchema = z.enum([
  'stopping',
  'ordered',
  'done',
  'abandoned',
]);
export type SuccessionPhase = z.infer<typeof successionPhaseSchema>;

/** Value of a row. */
export const successionSchema = z.object({
  /** Fencing token; increases with each change and each repeated order. */
  epoch: z.number().int().nonnegative(),
  /** Proxy that performs the change. */
  holder: z.string(),
  phase: successionPhaseSchema,
  /** Primary to be replaced; empty if none was known. */
  from: z.string(),
  /** Target to be promoted; empty until it has been selected. */
  target: z.string(),
});
export type Succession = z.infer<typeof successionSchema>;

/** Result of a promotion order. */
export type PromotionReply =
  | 'done'
  /** Refused: a higher epoch was used, or the target is not running. */
  | 'fenced'
  /** Not executed. */
  | 'refused'
  /** No reply; the order may have been executed or may still be executed. */
  | 'unanswered';

/** A promotion order. */
export interface PromotionOrder {
  readonly group: string;
  readonly target: string;
  readonly holder: string;
  readonly epoch: number;
}

/** Orders a promotion from the platform; implemented by an adapter. */
export type OrderPromotion = (order: PromotionOrder) => Future<PromotionReply>;
