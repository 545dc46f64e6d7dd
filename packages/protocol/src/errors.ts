/**
 * The error table. Every error that crosses a process boundary is defined here
 * with its JSON-RPC code, the outcome of the request, and whether it may be
 * retried.
 */
import {z} from 'zod';

/**
 * Outcome of a failed request. `not_run`: it was not run and will not be.
 * `unknown`: it may have run; repeat it with the same key to find out.
 */
export const outcomeSchema = z.enum(['not_run', 'unknown']);
export type Outcome = z.infer<typeof outcomeSchema>;

/** A row of the error table. */
export interface ErrorDefinition {
  /** JSON-RPC error code. */
  readonly code: number;
  readonly outcome: Outcome;
  /** True if the same request may succeed on a later attempt. */
  readonly retryable: boolean;
  readonly meaning: string;
}

function define(
  code: number,
  outcome: Outcome,
  retryable: boolean,
  meaning: string,
): ErrorDefinition {
  return {code, outcome, retryable, meaning};
}

/** All errors by name. Codes are part of the interface and are never reused. */
export const ERRORS = {
  PARSE_ERROR: define(-32700, 'not_run', false, 'The body is not JSON.'),
  INVALID_REQUEST: define(-32600, 'not_run', false, 'Not a JSON-RPC request.'),
  METHOD_NOT_FOUND: define(-32601, 'not_run', false, 'Unknown method.'),
  INVALID_PARAMETERS: define(-32602, 'not_run', false, 'Wrong parameters.'),
  INTERNAL_ERROR: define(-32603, 'unknown', true, 'A fault in the server.'),

  UNKNOWN_GROUP: define(1001, 'not_run', false, 'No such group.'),
  UNKNOWN_KIND: define(1002, 'not_run', false, 'No such request kind.'),
  BAD_TOKEN: define(1003, 'not_run', false, 'The session token is not valid.'),
  DEADLINE_PASSED: define(1004, 'not_run', false, 'The deadline has passed.'),
  KEY_EXPIRED: define(
    1005,
    'unknown',
    false,
    'Not run now: the key is too old.',
  ),
  KEY_CANCELLED: define(1006, 'not_run', false, 'The key was cancelled.'),
  KEY_MISMATCH: define(1007, 'not_run', false, 'Key of another statement.'),
  STATEMENT_FAILED: define(1008, 'not_run', false, 'The statement is faulty.'),
  BODY_TOO_LARGE: define(1009, 'not_run', false, 'The body is too large.'),
  KEY_FROM_FUTURE: define(1010, 'not_run', false, 'Issue time lies ahead.'),
  UNKNOWN_ACCOUNT: define(1011, 'not_run', false, 'No account has this key.'),

  OVERLOADED: define(1101, 'not_run', true, 'No room before the deadline.'),
  NO_PRIMARY: define(1102, 'not_run', true, 'The group has no primary now.'),
  NO_FRESH_TARGET: define(1103, 'not_run', true, 'No target is fresh enough.'),
  STOPPING: define(1104, 'not_run', true, 'The proxy stops; use another.'),
  NOT_READY: define(1105, 'not_run', true, 'Not ready yet; use another.'),
  OUTCOME_UNKNOWN: define(1106, 'unknown', true, 'Ask with the same key.'),
  TIMED_OUT: define(1107, 'not_run', true, 'Not run within the deadline.'),

  TRANSACTION_LOST: define(1201, 'not_run', false, 'Rolled back; begin anew.'),
  TRANSACTION_UNKNOWN: define(1202, 'not_run', false, 'No such transaction.'),
  TRANSACTION_BUSY: define(1203, 'not_run', true, 'A statement is running.'),

  TERM_TOO_LOW: define(2001, 'not_run', true, 'A higher term is known.'),
  NOT_PRIMARY: define(2002, 'not_run', true, 'Not primary in this term.'),
  NOT_FENCED: define(2003, 'not_run', false, 'Not fenced at this term.'),
  WRITES_PAUSED: define(2004, 'not_run', true, 'Paused for a switch-over.'),
  CONNECTIONS_EXHAUSTED: define(2005, 'not_run', true, 'At connection limit.'),
  SLOTS_EXHAUSTED: define(2006, 'not_run', true, 'No free slot.'),
  CONFIGURATION_CHANGED: define(2007, 'not_run', false, 'Another is newer.'),

  VERSION_CONFLICT: define(3001, 'not_run', false, 'Another commit won.'),
  UNAUTHORIZED: define(3002, 'not_run', false, 'The operator token is wrong.'),
  PLATFORM_UNAVAILABLE: define(3003, 'unknown', true, 'No answer from it.'),
  MANIFEST_INVALID: define(
    3004,
    'not_run',
    false,
    'The manifest has findings.',
  ),
  OBJECT_MISSING: define(3005, 'not_run', true, 'No object of this digest.'),
} as const satisfies Record<string, ErrorDefinition>;

/** Name of a row of the error table. */
export type ErrorName = keyof typeof ERRORS;

/** The `data` member of a JSON-RPC error. */
export const errorDataSchema = z.object({
  name: z.string(),
  outcome: outcomeSchema,
  retryable: z.boolean(),
  /** Time to wait before the next attempt, milliseconds. */
  retryAfter: z.number().nonnegative().optional(),
  /** With `TERM_TOO_LOW`: the highest term known to the refusing side. */
  term: z.number().int().nonnegative().optional(),
  details: z.array(z.string()).optional(),
});
export type ErrorData = z.infer<typeof errorDataSchema>;

/** An error inside a process; it is sent to others as a JSON-RPC error. */
export interface Failure {
  readonly name: ErrorName;
  readonly message: string;
  readonly outcome: Outcome;
  readonly retryAfter?: number;
  readonly term?: number;
  readonly details?: readonly string[];
}

/** Properties that replace the defaults of `createFailure`. */
export type FailureOptions = Partial<Omit<Failure, 'name'>>;

/** Creates a failure; outcome and message default to its error definition. */
export function createFailure(
  name: ErrorName,
  options: FailureOptions = {},
): Failure {
  const definition = ERRORS[name];
  return {
    name,
    message: definition.meaning,
    outcome: definition.outcome,
    ...options,
  };
}
