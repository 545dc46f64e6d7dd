/** Messages for leasing shares of quotas and for counting operations. */
import {defineMethod} from '@kelpstep/protocol';
import {z} from 'zod';

const clockReadingSchema = z.object({process: z.string(), time: z.number()});

/**
 * Leases the sender's share of all quotas to the receiver, counted from
 * `reading`. Without a reading, only the receiver's clock reading is requested.
 */
export const quotaLend = defineMethod(
  'quota.lend',
  z.object({
    lender: z.string(),
    /** The share, from 0 to 1. */
    part: z.number().min(0).max(1),
    /** Id of the sender's process; sent until its first lease is granted. */
    startOf: z.string().optional(),
    reading: clockReadingSchema.optional(),
  }),
  z.object({reading: clockReadingSchema}),
);

/** An account's limit, and the version of the configuration that defines it. */
const versionedLimitSchema = z.object({
  account: z.string(),
  /** Operations per second. */
  rate: z.number().nonnegative(),
  burst: z.number().nonnegative(),
  version: z.number(),
});
export type VersionedLimit = Readonly<z.infer<typeof versionedLimitSchema>>;

/** Answer to the request of one operation. */
const quotaAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('granted'),
    /** Id that readings of the coordinator's clock have; needed to return. */
    process: z.string().optional(),
    /** Time of the grant by the coordinator's clock; needed to return. */
    time: z.number().optional(),
  }),
  /** `retryAfter` is in milliseconds. */
  z.object({kind: z.literal('refused'), retryAfter: z.number()}),
]);
export type QuotaAnswer = Readonly<z.infer<typeof quotaAnswerSchema>>;

/** A priority; 0 is the highest, and the default. */
const prioritySchema = z.number().int().nonnegative().optional();

/** Requests an operation of an account, which is counted if granted. */
export const quotaTake = defineMethod(
  'quota.take',
  versionedLimitSchema.extend({priority: prioritySchema}),
  quotaAnswerSchema,
);

/**
 * Returns operations that were granted but did not run. Ignored if the process
 * that granted them has restarted or was suspended since.
 */
export const quotaReturn = defineMethod(
  'quota.return',
  versionedLimitSchema.extend({
    priority: prioritySchema,
    count: z.number().int().positive(),
    /** `process` and `time` of the answer that granted the operations. */
    process: z.string(),
    time: z.number(),
  }),
  z.object({}),
);

/** Counts operations that ran without being granted. */
export const quotaCharge = defineMethod(
  'quota.charge',
  versionedLimitSchema.extend({count: z.number().int().positive()}),
  z.object({}),
);
