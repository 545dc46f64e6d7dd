/** Statements are opaque to the proxy: text with parameters. */
import {z} from 'zod';

/** A value that a statement takes or a row holds. */
export const scalarSchema = z.union([
  z.string(),
  z.number(),
  z.boolean(),
  z.null(),
]);
export type Scalar = z.infer<typeof scalarSchema>;

/** A statement for a target. */
export const statementSchema = z.strictObject({
  text: z.string().min(1),
  parameters: z.array(scalarSchema).default([]),
});
export type Statement = z.infer<typeof statementSchema>;

/** Rows of an answer, each a list of column values. */
export const rowsSchema = z.array(z.array(scalarSchema));
export type Rows = z.infer<typeof rowsSchema>;

/**
 * An idempotency key. Its issue time lets a target forget keys after their
 * retention: an older key is refused instead of being run again.
 */
export const idempotencyKeySchema = z.strictObject({
  /** Unique text chosen by whoever issues the key. */
  id: z.string().min(1).max(200),
  /** Wall clock at issue, milliseconds since 1970. */
  issuedAt: z.number().int().positive().max(Number.MAX_SAFE_INTEGER),
});
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;
