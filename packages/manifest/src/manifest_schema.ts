/** Schemas of the manifest and its parts. The types are inferred from them. */
import {z} from 'zod';

import {
  addressSchema,
  milliseconds,
  nameSchema,
  positiveNumber,
  wholeNumber,
} from './schema_parts';

/** Maximum size of a manifest in bytes. It has to fit into a peer frame. */
export const MAXIMUM_MANIFEST_BYTES = 3 * 1024 * 1024;

/** Maximum deadline of a request kind: an hour. */
const MAXIMUM_DEADLINE_MS = 3_600_000;

/** Maximum time to drain: an hour. */
const MAXIMUM_DRAIN_TIME_MS = 3_600_000;

/** Maximum retention of idempotency keys: 30 days. */
const MAXIMUM_KEY_RETENTION_MS = 2_592_000_000;

/** State that an operator sets for a member. */
export const memberStateSchema = z.enum(['serving', 'leaving'], {
  error: 'serving or leaving',
});

/** A member of a group: a database instance (target). */
export const memberSchema = z.strictObject({
  id: nameSchema,
  dataCentre: nameSchema,
  address: addressSchema,
  /**
   * A `leaving` member gets no new requests; a leaving primary is switched over
   * first.
   */
  state: memberStateSchema.default('serving'),
  /** Number of statements that the member runs concurrently. */
  slots: wholeNumber(1, 10_000),
  /**
   * Number of connections that the member accepts from all proxies together.
   */
  connectionLimit: wholeNumber(1, 100_000),
});
export type Member = z.infer<typeof memberSchema>;

/** A group of targets: a primary and its replicas. */
export const groupSchema = z.strictObject({
  name: nameSchema,
  /** Default staleness bound of reads, in milliseconds. */
  readStaleness: milliseconds(),
  members: z.array(memberSchema).min(1),
});
export type Group = z.infer<typeof groupSchema>;

/** A kind of request, with its relative value and its default deadline. */
export const requestKindSchema = z.strictObject({
  name: nameSchema,
  /**
   * Relative value of a timely answer, which orders the queue under overload.
   */
  worth: positiveNumber(1_000_000),
  /** Time for an answer if the request sets no deadline, in milliseconds. */
  deadline: milliseconds(1, MAXIMUM_DEADLINE_MS),
});
export type RequestKind = z.infer<typeof requestKindSchema>;

const KEY_DIGEST_DESCRIPTION =
  'the digest of a key, as `kelpstep account` prints it';

/** A client account, identified by its keys. */
const accountSchema = z.strictObject({
  name: nameSchema,
  keyDigests: z.array(
    z
      .string({error: KEY_DIGEST_DESCRIPTION})
      .regex(/^[A-Za-z0-9_-]{22}$/, {error: KEY_DIGEST_DESCRIPTION}),
  ),
});

/** Policy for the graceful stop of members and proxies. */
export const stopPolicySchema = z.strictObject({
  /** Time that open transactions have to end, in milliseconds. */
  drainTime: milliseconds(0, MAXIMUM_DRAIN_TIME_MS).default(10_000),
  /** Time that a stopping proxy still accepts requests, in milliseconds. */
  acceptTime: milliseconds(0, MAXIMUM_DRAIN_TIME_MS).default(5_000),
});

/**
 * The manifest of a service: its data centres, groups, kinds of requests,
 * accounts and policies.
 */
export const manifestSchema = z.strictObject({
  /** Format version of the manifest. */
  format: z.literal(1, {error: 'the format 1'}),
  service: nameSchema,
  dataCentres: z.array(nameSchema).min(1),
  groups: z.array(groupSchema).min(1),
  kinds: z.array(requestKindSchema).min(1),
  /** If present, every request needs the key of a client account. */
  accounts: z.array(accountSchema).optional(),
  stop: stopPolicySchema.default({drainTime: 10_000, acceptTime: 5_000}),
  /** Time that targets keep idempotency keys, in milliseconds. */
  keyRetention: milliseconds(1, MAXIMUM_KEY_RETENTION_MS).default(86_400_000),
});
export type Manifest = z.infer<typeof manifestSchema>;

/** An accepted manifest with its version, commit and digest. */
export interface AcceptedManifest {
  /** Version number, which increases by one with each accepted commit. */
  readonly version: number;
  readonly commitId: string;
  /** SHA-256 of the body, hexadecimal. */
  readonly digest: string;
  /** The YAML text. */
  readonly body: string;
  readonly manifest: Manifest;
}
