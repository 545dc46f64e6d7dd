/** The row that decides who changes a group's primary, and how far that is. */
import type {Future} from '@kelpstep/runtime';
import {z} from 'zod';

/** Start of the rows' keys; the group's name follows. */
export const SUCCESSION_PREFIX = 'succession/';

/**
 * `stopping`: targets are being stopped and compared. `ordered`: the target may
 * be promoted at any time from now on. `done`: it leads. `abandoned`: given up
 * before any order.
 */
export const successionPhaseSchema = z.enum([
  'stopping',
  'ordered',
  'done',
  'abandoned',
]);
export type SuccessionPhase = z.infer<typeof successionPhaseSchema>;

/** A row's value. */
export const successionSchema = z.object({
  /** Rises with each change and each further order; a fencing token. */
  epoch: z.number().int().nonnegative(),
  /** Proxy that acts. */
  holder: z.string(),
  phase: successionPhaseSchema,
  /** Primary that is replaced; empty if none was known. */
  from: z.string(),
  /** Target that is promoted; empty before the choice. */
  target: z.string(),
});
export type Succession = z.infer<typeof successionSchema>;

/** What became of the order to promote. */
export type PromotionReply =
  | 'done'
  /** Refused: a higher epoch was used, or the target doesn't run. */
  | 'fenced'
  /** Not carried out. */
  | 'refused'
  /** May be carried out, also later. */
  | 'unanswered';

/** An order to promote. */
export interface PromotionOrder {
  readonly group: string;
  readonly target: string;
  readonly holder: string;
  readonly epoch: number;
}

/** Orders a promotion; an adapter implements it. */
export type OrderPromotion = (order: PromotionOrder) => Future<PromotionReply>;
