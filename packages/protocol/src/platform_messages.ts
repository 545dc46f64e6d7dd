/** Documents of the platform's table service and instance list. */
import {z} from 'zod';

/** A row of a table. Version 0 means that the row does not exist. */
export const tableRowSchema = z.strictObject({
  version: z.number().int().nonnegative(),
  value: z.unknown(),
});
export type TableRow = z.infer<typeof tableRowSchema>;

/** A row with its key, as returned by a listing. */
export const listedRowSchema = z.strictObject({
  key: z.string(),
  version: z.number().int().positive(),
  value: z.unknown(),
});
export type ListedRow = z.infer<typeof listedRowSchema>;

/** An entry of the platform's instance list, which may be out of date. */
export const listedInstanceSchema = z.strictObject({
  /** Proxy id or member id. */
  id: z.string(),
  role: z.enum(['proxy', 'target']),
  address: z.string(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** An earlier commit, as kept in the manifest row. */
export const earlierCommitSchema = z.strictObject({
  version: z.number().int().positive(),
  commitId: z.string(),
  digest: z.string(),
  committedBy: z.string(),
});
export type EarlierCommit = z.infer<typeof earlierCommitSchema>;

/** Value of the manifest row: identifies the current manifest body. */
export const manifestRowSchema = z.strictObject({
  /** Unique per commit; shows after a lost answer whether it took effect. */
  commitId: z.string(),
  /** SHA-256 of the body, hexadecimal; the name of its object in the store. */
  digest: z.string(),
  committedBy: z.string(),
  /** Wall clock, milliseconds since 1970. */
  committedAt: z.number(),
  /**
   * The latest earlier commits, newest first. They show that a commit with a
   * lost answer took effect although later commits have replaced it.
   */
  recent: z.array(earlierCommitSchema).optional(),
});
export type ManifestRow = z.infer<typeof manifestRowSchema>;

/** Names of the tables in the platform's table service. */
export const TABLES = {
  manifest: 'kelpstep-manifest',
  audit: 'kelpstep-audit',
  leadership: 'kelpstep-leadership',
} as const;

/** Key of the only row of the manifest table. */
export const MANIFEST_ROW_KEY = 'current';
