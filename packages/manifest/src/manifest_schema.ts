/** Schema of the manifest; its types are inferred. */
import {z} from 'zod';

import {
  addressSchema,
  milliseconds,
  nameSchema,
  positiveNumber,
  wholeNumber,
} from './schema_parts';

/** Largest manifest in bytes: a frame between proxies has to hold it. */
export const MAXIMUM_MANIFEST_BYTES = 3 * 1024 * 1024;

/** Longest time for an answer that a request kind may state, an hour. */
const LONGEST_DEADLINE = 3_600_000;

/** Longest drain, an hour, milliseconds. */
const LONGEST_DRAIN = 3_600_000;

/** Longest retention of idempotency keys, 30 days, milliseconds. */
const LONGEST_KEY_RETENTION = 2_592_000_000;

/** What an operator intends for a member. */
export const memberStateSchema = z.enum(['serving', 'leaving'], {
  error: 'serving or leaving',
});

/** A member of a group: one database instance (target). */
export const memberSchema = z.strictObject({
  id: nameSchema,
  dataCentre: nameSchema,
  address: addressSchema,
  /** `leaving`: no new work; a primary is switched over first. */
  state: memberStateSchema.default('serving'),
  /** Statements that it runs at a time. */
  slots: wholeNumber(1, 10_000),
  /** Connections that it accepts from all proxies together. */
  connectionLimit: wholeNumber(1, 100_000),
});
export type Member = z.infer<typeof memberSchema>;

/** A group of databases with one primary and its replicas. */
export const groupSchema = z.strictObject({
  name: nameSchema,
  /** Age that a read accepts if it states none, milliseconds. */
  readStaleness: milliseconds(),
  members: z.array(memberSchema).min(1),
});
export type Group = z.infer<typeof groupSchema>;

/** A kind of request, with what it is worth and how long it may take. */
export const requestKindSchema = z.strictObject({
  name: nameSchema,
  /** Relative worth of an answer in time; orders the queue under overload. */
  worth: positiveNumber(1_000_000),
  /** Time for an answer if the request states no deadline, milliseconds. */
  deadline: milliseconds(1, LONGEST_DEADLINE),
});
export type RequestKind = z.infer<typeof requestKindSchema>;

const KEY_DIGEST_TEXT = 'the digest of a key, as `kelpstep account` prints it';

/** A client account, known by its keys. */
const accountSchema = z.strictObject({
  name: nameSchema,
  keyDigests: z.array(
    z
      .string({error: KEY_DIGEST_TEXT})
      .regex(/^[A-Za-z0-9_-]{22}$/, {error: KEY_DIGEST_TEXT}),
  ),
});

/** How members and proxies are stopped. */
export const stopPolicySchema = z.strictObject({
  /** Time that transactions get to end, milliseconds. */
  drainTime: milliseconds(0, LONGEST_DRAIN).default(10_000),
  /** Time that a stopping proxy goes on accepting requests, milliseconds. */
  acceptTime: milliseconds(0, LONGEST_DRAIN).default(5_000),
});

/** The manifest. */
export const manifestSchema = z.strictObject({
  /** Format of the manifest. */
  format: z.literal(1, {error: 'the format 1'}),
  service: nameSchema,
  dataCentres: z.array(nameSchema).min(1),
  groups: z.array(groupSchema).min(1),
  kinds: z.array(requestKindSchema).min(1),
  /** With accounts every request needs the key of one. */
  accounts: z.array(accountSchema).optional(),
  stop: stopPolicySchema.default({drainTime: 10_000, acceptTime: 5_000}),
  /** How long targets remember idempotency keys, milliseconds. */
  keyRetention: milliseconds(1, LONGEST_KEY_RETENTION).default(86_400_000),
});
export type Manifest = z.infer<typeof manifestSchema>;

/** A manifest that was accepted, with what names it. */
export interface AcceptedManifest {
  /** Rises by one with each accepted commit. */
  readonly version: number;
  readonly commitId: string;
  /** SHA-256 of the body, hexadecimal. */
  readonly digest: string;
  /** The YAML text. */
  readonly body: string;
  readonly manifest: Manifest;
}
