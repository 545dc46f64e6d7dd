/** Messages between a caller and a proxy: JSON-RPC 2.0 over HTTP/1.1. */
import {z} from 'zod';

import {defineMethod} from './method';
import {idempotencyKeySchema, rowsSchema, statementSchema} from './statement';

/** Longest session token that is read, in characters. */
export const MAXIMUM_TOKEN_LENGTH = 4096;

/** Longest key of an account that is read, in characters. */
const MAXIMUM_ACCOUNT_KEY_LENGTH = 200;

/** A session token; opaque to callers. */
export const sessionTokenSchema = z.string().max(MAXIMUM_TOKEN_LENGTH);

const identifier = z.string().min(1).max(200);

const requestFields = {
  /** Group of databases, as in the manifest. */
  group: identifier,
  /** Request kind, as in the manifest: gives worth and default deadline. */
  kind: identifier.optional(),
  /**
   * Token of the last answer this session got; the empty text for a new
   * session. Without it the request sees all that was confirmed before.
   */
  token: sessionTokenSchema.optional(),
  /** Wall clock in milliseconds since 1970 after which no answer is wanted. */
  deadline: z.number().int().positive().optional(),
  /** Key of the caller's account, where the manifest has accounts. */
  accountKey: z.string().max(MAXIMUM_ACCOUNT_KEY_LENGTH).optional(),
};

/** Which target answered, and how old its data was at most. */
const servedBySchema = z.strictObject({
  target: z.string(),
  role: z.enum(['primary', 'replica']),
});

/** Reads. */
export const callerRead = defineMethod(
  'read',
  z.strictObject({
    ...requestFields,
    statement: statementSchema,
    /**
     * Oldest data that the caller accepts when the answer leaves, in
     * milliseconds; by default the group's `readStaleness`.
     */
    maximumAge: z.number().int().nonnegative().optional(),
    transaction: identifier.optional(),
  }),
  z.strictObject({
    rows: rowsSchema,
    token: sessionTokenSchema,
    servedBy: servedBySchema,
    /** Upper bound of the data's age when the answer left, milliseconds. */
    age: z.number().nonnegative(),
  }),
);

/** Writes. The answer means that a majority of the group holds the record. */
export const callerWrite = defineMethod(
  'write',
  z.strictObject({
    ...requestFields,
    statement: statementSchema,
    /** With a key the write runs at most once, however often it is sent. */
    key: idempotencyKeySchema.optional(),
    transaction: identifier.optional(),
  }),
  z.strictObject({
    rows: rowsSchema,
    token: sessionTokenSchema,
    /** True if the key had been recorded before and nothing was run now. */
    duplicate: z.boolean(),
  }),
);

/** Begins a transaction; its id may be used through any proxy. */
export const callerBegin = defineMethod(
  'begin',
  z.strictObject(requestFields),
  z.strictObject({transaction: identifier, token: sessionTokenSchema}),
);

/** Commits. With a key, a repeated commit gives the recorded answer. */
export const callerCommit = defineMethod(
  'commit',
  z.strictObject({
    ...requestFields,
    transaction: identifier,
    key: idempotencyKeySchema.optional(),
  }),
  z.strictObject({token: sessionTokenSchema, duplicate: z.boolean()}),
);

/** Rolls back. */
export const callerRollback = defineMethod(
  'rollback',
  z.strictObject({...requestFields, transaction: identifier}),
  z.strictObject({token: sessionTokenSchema}),
);

/**
 * Settles the outcome of a keyed write or commit for good: confirmed, or not
 * run and never to be run.
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

/** The methods that callers' ports carry. */
export const CALLER_METHODS = {
  read: callerRead,
  write: callerWrite,
  begin: callerBegin,
  commit: callerCommit,
  rollback: callerRollback,
  outcome: callerOutcome,
} as const;
