/** Schema of the manifest; its types are inferred. */
import {z} from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens');

const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'IP number and port: 10.0.0.1:5432',
  );

const milliseconds = z.number().int().nonnegative();

/** What an operator intends for a member. */
export const memberStateSchema = z.enum(['serving', 'leaving']);

/** A member of a group: one database instance (target). */
export const memberSchema = z.strictObject({
  id: name,
  dataCentre: name,
  address,
  /** `leaving`: no new work; a primary is switched over first. */
  state: memberStateSchema.default('serving'),
  /** Statements that it runs at a time. */
  slots: z.number().int().min(1).max(10_000),
  /** Connections that it accepts from all proxies together. */
  connectionLimit: z.number().int().min(1).max(100_000),
});
export type Member = z.infer<typeof memberSchema>;

/** A group of databases with one primary and its replicas. */
export const groupSchema = z.strictObject({
  name,
  /** Age that a read accepts if it states none, milliseconds. */
  readStaleness: milliseconds,
  members: z.array(memberSchema).min(1),
});
export type Group = z.infer<typeof groupSchema>;

/** A kind of request, with what it is worth and how long it may take. */
export const requestKindSchema = z.strictObject({
  name,
  /** Relative worth of an answer in time; orders the queue under overload. */
  worth: z.number().positive().max(1_000_000),
  /** Time for an answer if the request states no deadline, milliseconds. */
  deadline: z.number().int().positive(),
});
export type RequestKind = z.infer<typeof requestKindSchema>;

/** How members and proxies are stopped. */
export const stopPolicySchema = z.strictObject({
  /** Time that transactions get to end, milliseconds. */
  drainTime: milliseconds.default(10_000),
  /** Time that a stopping proxy goes on accepting requests, milliseconds. */
  acceptTime: milliseconds.default(5_000),
});

/** The manifest. */
export const manifestSchema = z.strictObject({
  /** Format of the manifest. */
  format: z.literal(1),
  service: name,
  dataCentres: z.array(name).min(1),
  groups: z.array(groupSchema).min(1),
  kinds: z.array(requestKindSchema).min(1),
  stop: stopPolicySchema.default({drainTime: 10_000, acceptTime: 5_000}),
  /** How long targets remember idempotency keys, milliseconds. */
  keyRetention: z.number().int().positive().default(86_400_000),
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
