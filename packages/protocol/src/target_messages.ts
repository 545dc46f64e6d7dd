/** Messages between a proxy and a target, and between targets of a group. */
import {z} from 'zod';

import {logPositionSchema, termHistorySchema, termSchema} from './log_position';
import {defineMethod} from './method';
import {idempotencyKeySchema, rowsSchema, statementSchema} from './statement';

/** What a target is to its group. A fenced primary is a replica. */
export const targetRoleSchema = z.enum(['primary', 'replica']);
export type TargetRole = z.infer<typeof targetRoleSchema>;

/** Most members of a configuration. */
const MAXIMUM_MEMBERS = 100;

/** The members of a group that count towards its majorities. */
export const configurationSchema = z.strictObject({
  /** Version of the manifest that wanted this configuration. */
  version: z.number().int().nonnegative(),
  members: z
    .array(z.strictObject({id: z.string(), address: z.string()}))
    .min(1)
    .max(MAXIMUM_MEMBERS)
    .readonly(),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration and the record that brought it. */
export const loggedConfigurationSchema = configurationSchema.extend({
  at: logPositionSchema,
});
export type LoggedConfiguration = z.infer<typeof loggedConfigurationSchema>;

/** What a target tells about itself. */
export const targetStatusSchema = z.strictObject({
  /** Member id, as in the manifest. */
  target: z.string(),
  /** Differs between two processes that bore the same id. */
  incarnation: z.string(),
  role: targetRoleSchema,
  /** Highest term seen; lower terms are refused. */
  term: termSchema,
  /** End of the target's log. */
  end: logPositionSchema,
  /** Starts of the terms of its log. */
  history: termHistorySchema,
  /** Address of the primary it follows, if it follows one. */
  following: z.string().optional(),
  /** Milliseconds since it last heard its primary; absent on a primary. */
  primarySilence: z.number().nonnegative().optional(),
  /**
   * True while a target that started empty has not reached the end that its
   * primary's log had when it joined. It counts towards no majority: it may
   * have forgotten records and fences.
   */
  catchingUp: z.boolean().optional(),
  /**
   * The newest configuration in its log, in effect from its record on. Absent
   * if the log is empty, or written before logs held configurations.
   */
  configuration: loggedConfigurationSchema.optional(),
  /** Statements that it runs at a time. */
  slots: z.number().int().positive(),
  /** Connections it accepts at most. */
  connectionLimit: z.number().int().positive(),
});
export type TargetStatus = z.infer<typeof targetStatusSchema>;

/** Asks a target about itself. Takes no slot. */
export const targetStatus = defineMethod(
  'target.status',
  z.strictObject({}),
  targetStatusSchema,
);

/** How a target treats a statement. */
export const statementModeSchema = z.enum(['read', 'write']);
export type StatementMode = z.infer<typeof statementModeSchema>;

/** What a target answers to a statement. */
export const executionSchema = z.strictObject({
  rows: rowsSchema,
  /**
   * Write: the record written. Read: the end of the log that was read. The
   * caller may rely on it only once a majority of the group holds it.
   */
  at: logPositionSchema,
  /** True if the key had been recorded before and nothing was run now. */
  duplicate: z.boolean(),
});
export type Execution = z.infer<typeof executionSchema>;

/**
 * Runs a statement: in a transaction, or on its own and committed at once.
 * A write needs `term`: a target that isn't primary in just this term refuses.
 * With `key`, statement and key are recorded together; a second execution
 * with the key gives the recorded answer.
 */
export const targetExecute = defineMethod(
  'target.execute',
  z.strictObject({
    statement: statementSchema,
    mode: statementModeSchema,
    term: termSchema.optional(),
    key: idempotencyKeySchema.optional(),
    transaction: z.string().optional(),
  }),
  executionSchema,
);

/** Begins a transaction on this connection; it takes a slot until its end. */
export const targetBegin = defineMethod(
  'target.begin',
  z.strictObject({term: termSchema}),
  z.strictObject({transaction: z.string()}),
);

/** Commits a transaction; its records become visible together. */
export const targetCommit = defineMethod(
  'target.commit',
  z.strictObject({
    transaction: z.string(),
    key: idempotencyKeySchema.optional(),
  }),
  executionSchema,
);

/** Rolls a transaction back. Closing its connection does the same. */
export const targetRollback = defineMethod(
  'target.rollback',
  z.strictObject({transaction: z.string()}),
  z.strictObject({}),
);

/** What a target knows of an idempotency key. */
export const keyStateSchema = z.discriminatedUnion('state', [
  z.strictObject({state: z.literal('recorded'), execution: executionSchema}),
  z.strictObject({state: z.literal('cancelled'), at: logPositionSchema}),
]);
export type KeyState = z.infer<typeof keyStateSchema>;

/**
 * Settles a key whose outcome is unknown. If the primary has recorded it, the
 * recorded answer is given. Otherwise the key is recorded as cancelled, so
 * that a request still on its way is refused when it arrives. Either answer
 * counts only once a majority holds its position.
 */
export const targetSettleKey = defineMethod(
  'target.settleKey',
  z.strictObject({term: termSchema, key: idempotencyKeySchema}),
  keyStateSchema,
);

/**
 * Makes the target refuse everything of terms below `term`, also replication
 * from their primaries. Refused with `TERM_TOO_LOW` unless `term` is higher
 * than all terms the target has seen.
 */
export const targetFence = defineMethod(
  'target.fence',
  z.strictObject({term: termSchema}),
  targetStatusSchema,
);

/**
 * Makes the target, fenced at just this term, the primary. It writes a barrier
 * record as the first of its term and answers with the barrier's position. If
 * its log holds no configuration, the barrier takes the one given here.
 */
export const targetPromote = defineMethod(
  'target.promote',
  z.strictObject({
    term: termSchema,
    configuration: configurationSchema.optional(),
  }),
  z.strictObject({at: logPositionSchema}),
);

/**
 * Makes the primary of just this term write a record with a new configuration,
 * unless the newest in its log is another than that at `replaces`; then the
 * answer is `CONFIGURATION_CHANGED`. Who asks has seen the record `replaces`
 * and the term's barrier confirmed, and changes one member.
 */
export const targetReconfigure = defineMethod(
  'target.reconfigure',
  z.strictObject({
    term: termSchema,
    replaces: logPositionSchema,
    configuration: configurationSchema,
  }),
  z.strictObject({at: logPositionSchema}),
);

/** Makes the target replicate from the primary of a term. */
export const targetFollow = defineMethod(
  'target.follow',
  z.strictObject({term: termSchema, primary: z.string()}),
  z.strictObject({}),
);

/**
 * Planned switch-over: the primary of `term` refuses writes and new
 * transactions with `WRITES_PAUSED` for at most this long, then goes on. The
 * answer has the end of its log, which no longer moves.
 */
export const targetPauseWrites = defineMethod(
  'target.pauseWrites',
  z.strictObject({
    term: termSchema,
    durationMilliseconds: z.number().int().positive(),
  }),
  z.strictObject({end: logPositionSchema}),
);

/**
 * Starts `target.positions` notifications on this connection: one at once, one
 * for each batch of changes and one at least every heartbeat period.
 */
export const targetSubscribePositions = defineMethod(
  'target.subscribePositions',
  z.strictObject({heartbeatMilliseconds: z.number().int().positive()}),
  z.strictObject({}),
);

/** Notification: where the target's log ends now. */
export const targetPositions = {
  name: 'target.positions',
  parameters: targetStatusSchema,
} as const;

/** One record of the log, as targets replicate it. */
export const logRecordSchema = z.strictObject({
  at: logPositionSchema,
  /** Statements applied together; none for a barrier. */
  statements: z.array(statementSchema),
  key: idempotencyKeySchema.optional(),
  /** The answer recorded with the key. */
  rows: rowsSchema.optional(),
  /** True if the record cancels its key. */
  cancelsKey: z.boolean().optional(),
  /** Counts for majorities from this record on. */
  configuration: configurationSchema.optional(),
});
export type LogRecord = z.infer<typeof logRecordSchema>;

/**
 * A replica asks its primary for records after `end`. If the replica's log
 * parts from the primary's, the answer names the last position both hold
 * (`keep`); the replica drops what lies beyond and asks again. The primary
 * holds the answer back until there are records, or a heartbeat period.
 */
export const targetReplicate = defineMethod(
  'target.replicate',
  z.strictObject({
    target: z.string(),
    term: termSchema,
    end: logPositionSchema,
    history: termHistorySchema,
  }),
  z.strictObject({
    keep: z.number().int().nonnegative(),
    records: z.array(logRecordSchema),
    /** Where the primary's log ended when it answered. */
    primaryEnd: logPositionSchema.optional(),
  }),
);
