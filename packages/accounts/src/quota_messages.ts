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

const askedLimitSchema = z.object({
  account: z.string(),
  rate: z.number().nonnegative(),
  burst: z.number().nonnegative(),
  /** Version of the configuration that says so. */
  version: z.number(),
});

/** Asks whether an operation of an account may run; it is counted if so. */
export const quotaTake = defineMethod(
  'quota.take',
  askedLimitSchema,
  z.object({
    isGranted: z.boolean(),
    /** Milliseconds; 0 if it is granted. */
    retryAfter: z.number(),
  }),
);

/** Counts what has run beyond what was granted. */
export const quotaCharge = defineMethod(
  'quota.charge',
  askedLimitSchema.extend({count: z.number().int().positive()}),
  z.object({}),
);
