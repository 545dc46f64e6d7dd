/** Messages by which proxies lend their parts of quotas and count together. */
import {defineMethod} from '@kelpstep/protocol';
import {z} from 'zod';

const clockReadingSchema = z.object({process: z.string(), time: z.number()});

/** Lends the sender's part of all quotas; without a reading it asks for one. */
export const quotaLend = defineMethod(
  'quota.lend',
  z.object({
    lender: z.string(),
    /** From 0 to 1. */
    part: z.number().min(0).max(1),
    /** The sender's process, until its first loan was taken. */
    startOf: z.string().optional(),
    reading: clockReadingSchema.optional(),
  }),
  z.object({reading: clockReadingSchema}),
);

/** An account's limit, and the version of the configuration that says so. */
const versionedLimitSchema = z.object({
  account: z.string(),
  /** Operations a second. */
  rate: z.number().nonnegative(),
  burst: z.number().nonnegative(),
  version: z.number(),
});
export type VersionedLimit = Readonly<z.infer<typeof versionedLimitSchema>>;

/** Whether an operation may run. */
const quotaAnswerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('granted')}),
  /** `retryAfter`: milliseconds. */
  z.object({kind: z.literal('refused'), retryAfter: z.number()}),
]);
export type QuotaAnswer = Readonly<z.infer<typeof quotaAnswerSchema>>;

/** Asks whether an operation of an account may run; it is counted if so. */
export const quotaTake = defineMethod(
  'quota.take',
  versionedLimitSchema,
  quotaAnswerSchema,
);

/** Counts what has run beyond what was granted. */
export const quotaCharge = defineMethod(
  'quota.charge',
  versionedLimitSchema.extend({count: z.number().int().positive()}),
  z.object({}),
);
