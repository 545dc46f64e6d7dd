/** Documents of the platform's table service, object store and list. */
import {z} from 'zod';

/** A row of a table. Version 0 means that there is no such row. */
export const tableRowSchema = z.strictObject({
  version: z.number().int().nonnegative(),
  value: z.unknown(),
});
export type TableRow = z.infer<typeof tableRowSchema>;

/** A row with its key, as a listing gives it. */
export const listedRowSchema = z.strictObject({
  key: z.string(),
  version: z.number().int().positive(),
  value: z.unknown(),
});
export type ListedRow = z.infer<typeof listedRowSchema>;

/** An instance in the platform's lagging list. */
export const listedInstanceSchema = z.strictObject({
  /** Proxy id or member id. */
  id: z.string(),
  role: z.enum(['proxy', 'target']),
  address: z.string(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** An earlier commit, as the manifest row remembers it. */
export const earlierCommitSchema = z.strictObject({
  version: z.number().int().positive(),
  commitId: z.string(),
  digest: z.string(),
  committedBy: z.string(),
});
export type EarlierCommit = z.infer<typeof earlierCommitSchema>;

/** The manifest row's value: which body is in force. */
export const manifestRowSchema = z.strictObject({
  /** Unique per commit: tells whose commit won after a lost answer. */
  commitId: z.string(),
  /** SHA-256 of the body, hexadecimal: its name in the object store. */
  digest: z.string(),
  committedBy: z.string(),
  /** Wall clock, milliseconds since 1970. */
  committedAt: z.number(),
  /**
   * Latest earlier commits, newest first. They settle the lost answer of a
   * commit on top of which others have come since.
   */
  recent: z.array(earlierCommitSchema).optional(),
});
export type ManifestRow = z.infer<typeof manifestRowSchema>;

/** Names of tables and rows in the platform's table service. */
export const TABLES = {
  manifest: 'kelpstep-manifest',
  audit: 'kelpstep-audit',
  leadership: 'kelpstep-leadership',
} as const;

/** Key of the one manifest row. */
export const MANIFEST_ROW_KEY = 'current';
