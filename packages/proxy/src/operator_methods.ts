/** Methods of the operators' port; the `kelpstep` command uses them. */
import {auditPageSchema} from '@kelpstep/observability';
import {
  defineMethod,
  logPositionSchema,
  proxyIdentitySchema,
  targetRoleSchema,
} from '@kelpstep/protocol';
import {z} from 'zod';

const version = z.number().int().nonnegative();

/** What names the manifest in force; version 0 without one. */
const manifestNameSchema = z.strictObject({
  version,
  commitId: z.string().optional(),
  /** SHA-256 of the body, hexadecimal. */
  digest: z.string().optional(),
});

/** Commits a manifest. Sending it again with the same id is harmless. */
export const manifestCommit = defineMethod(
  'manifest.commit',
  z.strictObject({
    /** The YAML text. */
    body: z.string(),
    /** Name of the text in findings. */
    fileName: z.string().min(1).max(200),
    /** Version that the commit replaces; 0 for the first. */
    expectedVersion: version,
    commitId: z.string().min(1).max(200),
    committedBy: z.string().min(1).max(200),
  }),
  manifestNameSchema,
);

/** Gives the manifest in force on this proxy. */
export const manifestShow = defineMethod(
  'manifest.show',
  z.strictObject({}),
  z.strictObject({...manifestNameSchema.shape, body: z.string().optional()}),
);

const memberStatusSchema = z.strictObject({
  id: z.string(),
  role: targetRoleSchema.optional(),
  reachable: z.boolean(),
  leaving: z.boolean(),
  end: logPositionSchema,
  /** Upper bound of its data's age, milliseconds. */
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

/** What a proxy tells of itself. */
export const proxyStatusSchema = z.strictObject({
  proxy: proxyIdentitySchema,
  /** Why it is not ready; absent if it is. */
  unready: z.string().optional(),
  manifest: manifestNameSchema,
  /** Other proxies that it knows to be alive. */
  proxies: z.array(proxyIdentitySchema),
  groups: z.array(groupStatusSchema),
  requestsInFlight: z.number().int().nonnegative(),
  openTransactions: z.number().int().nonnegative(),
  audit: z.strictObject({
    /** Entries not yet in the platform. */
    pending: z.number().int().nonnegative(),
    dropped: z.number().int().nonnegative(),
  }),
});
export type ProxyStatus = z.infer<typeof proxyStatusSchema>;

/** Asks a proxy about itself. */
export const proxyStatus = defineMethod(
  'status',
  z.strictObject({}),
  proxyStatusSchema,
);

/** Most rows of the audit table in one page. */
export const LARGEST_AUDIT_PAGE = 100;

/** Reads the audit trail, oldest first. */
export const auditList = defineMethod(
  'audit.list',
  z.strictObject({
    /** `next` of the page before, or the key of a time; "" for the start. */
    after: z.string().max(200),
    /** Rows in the page; each holds the entries of one batch. */
    limit: z.number().int().min(1).max(LARGEST_AUDIT_PAGE),
  }),
  auditPageSchema,
);
