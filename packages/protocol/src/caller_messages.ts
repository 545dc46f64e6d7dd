/** Messages between callers and proxies: JSON-RPC 2.0 over HTTP/1.1. */
import {z} from 'zod';

import {defineMethod} from './method';
import {idempotencyKeySchema, rowsSchema, statementSchema} from './statement';

/** Longest session token that is accepted, in characters. */
export const MAXIMUM_TOKEN_LENGTH = 4096;

/** Longest account key that is accepted, in characters. */
const MAXIMUM_ACCOUNT_KEY_LENGTH = 200;

/** A session token; opaque to callers. */
export const sessionTokenSchema = z.string().max(MAXIMUM_TOKEN_LENGTH);

const identifierSchema = z.string().min(1).max(200);

const requestFields = {
  /** Group of databases, by its name in the manifest. */
  group: identifierSchema,
  /**
   * Request kind, by its name in the manifest. It determines the relative value
   * and the default deadline.
   */
  kind: identifierSchema.optional(),
  /**
   * Token of the session's latest answer; the empty string starts a session.
   * Without a token the answer reflects everything confirmed before the
   * request.
   */
  token: sessionTokenSchema.optional(),
  /** Wall clock, milliseconds since 1970, after which an answer is useless. */
  deadline: z.number().int().positive().optional(),
  /** Key of the client account; used if the manifest defines accounts. */
  accountKey: z.string().max(MAXIMUM_ACCOUNT_KEY_LENGTH).optional(),
};

/** The target that answered, and its role. */
const servedBySchema = z.strictObject({
  target: z.string(),
  role: z.enum(['primary', 'replica']),
});

/** Runs a read; the answer names the target and bounds the age of the data. */
export const callerRead = defineMethod(
  'read',
  z.strictObject({
    ...requestFields,
    statement: statementSchema,
    /**
     * Maximum age in milliseconds of the data when the answer is sent; by
     * default the group's `readStaleness`.
     */
    maximumAge: z.number().int().nonnegative().optional(),
    transaction: identifierSchema.optional(),
  }),
  z.strictObject({
    rows: rowsSchema,
    token: sessionTokenSchema,
    servedBy: servedBySchema,
    /** Upper bound of the data's age when the answer was sent, milliseconds. */
    age: z.number().nonnegative(),
  }),
);

/**
 * Runs a write. It is answered once a majority of the group holds the record.
 */
export const callerWrite = defineMethod(
  'write',
  z.strictObject({
    ...requestFields,
    statement: statementSchema,
    /** With a key, the write runs at most once, however often it is sent. */
    key: idempotencyKeySchema.optional(),
    transaction: identifierSchema.optional(),
  }),
  z.strictObject({
    rows: rowsSchema,
    token: sessionTokenSchema,
    /** True if the key was already recorded and nothing was run. */
    duplicate: z.boolean(),
  }),
);

/** Begins a transaction. Its id is valid at every proxy. */
export const callerBegin = defineMethod(
  'begin',
  z.strictObject(requestFields),
  z.strictObject({transaction: identifierSchema, token: sessionTokenSchema}),
);

/** Commits a transaction. With a key, a repetition gets the recorded answer. */
export const callerCommit = defineMethod(
  'commit',
  z.strictObject({
    ...requestFields,
    transaction: identifierSchema,
    key: idempotencyKeySchema.optional(),
  }),
  z.strictObject({token: sessionTokenSchema, duplicate: z.boolean()}),
);

/** Rolls a transaction back. */
export const callerRollback = defineMethod(
  'rollback',
  z.strictObject({...requestFields, transaction: identifierSchema}),
  z.strictObject({token: sessionTokenSchema}),
);

/**
 * Determines the final outcome of a write or commit with a key. Once the answer
 * is `not_run`, the key can no longer be run.
 */
export const callerOutcome = defineMethod(
  'outcome',
  z.strictObject({...requestFields, key: idempotencyKeySchema}),
  z.strictObject({
    outcome: z.enum(['confirmed', 'not_run']),
    rows: rowsSchema,
    token: sessionTokenSchema,
  }),
);

/** The methods served on the callers' port. */
export const CALLER_METHODS = {
  read: callerRead,
  write: callerWrite,
  begin: callerBegin,
  commit: callerCommit,
  rollback: callerRollback,
  outcome: callerOutcome,
} as const;
