/** Statements: text with parameters, which the proxy does not interpret. */
import {z} from 'zod';

/** A statement parameter or a column value. */
export const scalarSchema = z.union([
  z.string(),
  z.number(),
  z.boolean(),
  z.null(),
]);
export type Scalar = z.infer<typeof scalarSchema>;

/** A statement that targets run. */
export const statementSchema = z.strictObject({
  text: z.string().min(1),
  parameters: z.array(scalarSchema).default([]),
});
export type Statement = z.infer<typeof statementSchema>;

/** Result rows, each a list of column values. */
export const rowsSchema = z.array(z.array(scalarSchema));
export type Rows = z.infer<typeof rowsSchema>;

/**
 * An idempotency key. The issue time allows targets to remove keys after the
 * retention period: a request with an older key is refused, not run again.
 */
export const idempotencyKeySchema = z.strictObject({
  /** Unique text chosen by the issuer. */
  id: z.string().min(1).max(200),
  /** Wall clock at issue, milliseconds since 1970. */
  issuedAt: z.number().int().positive().max(Number.MAX_SAFE_INTEGER),
});
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;
