/** Methods for operators, as used by the `kelpstep` command. */
import {auditPageSchema} from '@kelpstep/observability';
import {
  defineMethod,
  logPositionSchema,
  proxyIdentitySchema,
  targetRoleSchema,
} from '@kelpstep/protocol';
import {z} from 'zod';

const version = z.number().int().nonnegative();

/** Identifies the manifest in force; version 0 without a manifest. */
const manifestReferenceSchema = z.strictObject({
  version,
  commitId: z.string().optional(),
  /** SHA-256 of the body, hexadecimal. */
  digest: z.string().optional(),
});

/** Commits a manifest. A commit can be sent again safely with the same id. */
export const manifestCommit = defineMethod(
  'manifest.commit',
  z.strictObject({
    /** The YAML text. */
    body: z.string(),
    /** File name shown in findings. */
    fileName: z.string().min(1).max(200),
    /** Version that the commit replaces; 0 for the first commit. */
    expectedVersion: version,
    commitId: z.string().min(1).max(200),
    committedBy: z.string().min(1).max(200),
  }),
  manifestReferenceSchema,
);

/** Returns the manifest in force on this proxy. */
export const manifestShow = defineMethod(
  'manifest.show',
  z.strictObject({}),
  z.strictObject({
    ...manifestReferenceSchema.shape,
    body: z.string().optional(),
  }),
);

const memberStatusSchema = z.strictObject({
  id: z.string(),
  role: targetRoleSchema.optional(),
  reachable: z.boolean(),
  leaving: z.boolean(),
  end: logPositionSchema,
  /** Upper bound of the age of the member's data, in milliseconds. */
  age: z.number().nonnegative().optional(),
});

const groupStatusSchema = z.strictObject({
  group: z.string(),
  /** Absent while no primary is known. */
  leadership: z
    .strictObject({term: z.number(), primary: z.string()})
    .optional(),
  confirmed: logPositionSchema,
  members: z.array(memberStatusSchema),
});

/**
 * Result of `status`: the state of the proxy that answers, and the state of
 * proxies and groups as far as it knows them.
 */
export const proxyStatusSchema = z.strictObject({
  proxy: proxyIdentitySchema,
  /** Why the proxy is not ready; absent if it is ready. */
  unready: z.string().optional(),
  manifest: manifestReferenceSchema,
  /** Proxies that the answering proxy considers alive. */
  proxies: z.array(proxyIdentitySchema),
  groups: z.array(groupStatusSchema),
  requestsInFlight: z.number().int().nonnegative(),
  openTransactions: z.number().int().nonnegative(),
  audit: z.strictObject({
    /** Number of entries that are not stored in the platform yet. */
    pending: z.number().int().nonnegative(),
    dropped: z.number().int().nonnegative(),
  }),
});
export type ProxyStatus = z.infer<typeof proxyStatusSchema>;

/** Returns the status of the proxy that receives the request. */
export const proxyStatus = defineMethod(
  'status',
  z.strictObject({}),
  proxyStatusSchema,
);

/** Maximum number of rows of the audit table in one page. */
export const MAXIMUM_AUDIT_PAGE_ROWS = 100;

/** Reads a page of the audit trail, oldest entries first. */
export const auditList = defineMethod(
  'audit.list',
  z.strictObject({
    /** `next` of the previous page, or the key of a time; "" for the start. */
    after: z.string().max(200),
    /** Maximum number of rows; each holds the entries of one batch. */
    limit: z.number().int().min(1).max(MAXIMUM_AUDIT_PAGE_ROWS),
  }),
  auditPageSchema,
);
