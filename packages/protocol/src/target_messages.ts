/** Messages between proxies and targets, and between the targets of a group. */
import {z} from 'zod';

import {logPositionSchema, termHistorySchema, termSchema} from './log_position';
import {defineMethod} from './method';
import {idempotencyKeySchema, rowsSchema, statementSchema} from './statement';

/** Role of a target in its group. A fenced primary is a replica. */
export const targetRoleSchema = z.enum(['primary', 'replica']);
export type TargetRole = z.infer<typeof targetRoleSchema>;

/** Maximum number of members of a configuration. */
const MAXIMUM_MEMBERS = 100;

/** The voting members of a group. */
export const configurationSchema = z.strictObject({
  /** Version of the manifest that requested this configuration. */
  version: z.number().int().nonnegative(),
  members: z
    .array(z.strictObject({id: z.string(), address: z.string()}))
    .min(1)
    .max(MAXIMUM_MEMBERS)
    .readonly(),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration and the position of the record that contains it. */
export const loggedConfigurationSchema = configurationSchema.extend({
  at: logPositionSchema,
});
export type LoggedConfiguration = z.infer<typeof loggedConfigurationSchema>;

/** Identity, role, log and limits of a target when it answers. */
export const targetStatusSchema = z.strictObject({
  /** Member id, as in the manifest. */
  target: z.string(),
  /** Distinguishes processes that have used the same id. */
  incarnation: z.string(),
  role: targetRoleSchema,
  /** Highest term known to the target; requests of lower terms are refused. */
  term: termSchema,
  /** End of the target's log. */
  end: logPositionSchema,
  /** Term history of the target's log. */
  history: termHistorySchema,
  /** Address of the primary that the target replicates from, if any. */
  following: z.string().optional(),
  /**
   * Milliseconds since the primary last answered this target; absent on a
   * primary.
   */
  primarySilence: z.number().nonnegative().optional(),
  /**
   * True while a target that started empty has not reached the end that its
   * primary's log had when the target joined. Until then it counts towards no
   * majority, because it may have lost records and fences.
   */
  catchingUp: z.boolean().optional(),
  /**
   * The newest configuration in the target's log, in effect from its record on.
   * It is absent if the log is empty or was written by a version that did not
   * store configurations.
   */
  configuration: loggedConfigurationSchema.optional(),
  /** Maximum number of statements that run at the same time. */
  slots: z.number().int().positive(),
  /** Maximum number of connections. */
  connectionLimit: z.number().int().positive(),
});
export type TargetStatus = z.infer<typeof targetStatusSchema>;

/** Requests a target's status, which takes no slot. */
export const targetStatus = defineMethod(
  'target.status',
  z.strictObject({}),
  targetStatusSchema,
);

/** How a target runs a statement. */
export const statementModeSchema = z.enum(['read', 'write']);
export type StatementMode = z.infer<typeof statementModeSchema>;

/** Result of a statement. */
export const executionSchema = z.strictObject({
  rows: rowsSchema,
  /**
   * Position of the record written, or for a read the end of the log that was
   * read. It is confirmed only once a majority of the group holds it.
   */
  at: logPositionSchema,
  /** True if the key was already recorded and nothing was run. */
  duplicate: z.boolean(),
});
export type Execution = z.infer<typeof executionSchema>;

/**
 * Runs a statement in a transaction, or on its own with an immediate commit.
 * A write requires `term`; a target that is not the primary of exactly this
 * term refuses it. With `key`, statement and key are recorded together, and a
 * second execution with the key returns the recorded answer.
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

/** Begins a transaction on this connection. It holds a slot until it ends. */
export const targetBegin = defineMethod(
  'target.begin',
  z.strictObject({term: termSchema}),
  z.strictObject({transaction: z.string()}),
);

/** Commits a transaction; its records become visible atomically. */
export const targetCommit = defineMethod(
  'target.commit',
  z.strictObject({
    transaction: z.string(),
    key: idempotencyKeySchema.optional(),
  }),
  executionSchema,
);

/** Rolls a transaction back, as closing its connection does. */
export const targetRollback = defineMethod(
  'target.rollback',
  z.strictObject({transaction: z.string()}),
  z.strictObject({}),
);

/** State of an idempotency key at a target. */
export const keyStateSchema = z.discriminatedUnion('state', [
  z.strictObject({state: z.literal('recorded'), execution: executionSchema}),
  z.strictObject({state: z.literal('cancelled'), at: logPositionSchema}),
]);
export type KeyState = z.infer<typeof keyStateSchema>;

/**
 * Determines the outcome of a key. If the primary has recorded the key, it
 * returns the recorded answer. Otherwise it records the key as cancelled, so
 * that a delayed request with the key is refused. Either answer is final only
 * once a majority holds its position.
 */
export const targetSettleKey = defineMethod(
  'target.settleKey',
  z.strictObject({term: termSchema, key: idempotencyKeySchema}),
  keyStateSchema,
);

/**
 * Makes the target refuse requests of terms below `term`, including replication
 * from their primaries. The request is refused with `TERM_TOO_LOW` unless
 * `term` is higher than every term known to the target.
 */
export const targetFence = defineMethod(
  'target.fence',
  z.strictObject({term: termSchema}),
  targetStatusSchema,
);

/**
 * Promotes a target that is fenced at exactly this term to primary. It writes a
 * barrier record as the first of its term and returns the barrier's position.
 * If its log has no configuration, the barrier contains `configuration`.
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
 * Makes the primary of exactly this term write a record with a new
 * configuration. The request is refused with `CONFIGURATION_CHANGED` if the
 * newest configuration in its log is not the one at `replaces`. The requester
 * ensures that the record at `replaces` and the barrier of the term are
 * confirmed, and that the new configuration changes a single member.
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

/** Makes the target replicate from the primary of the given term. */
export const targetFollow = defineMethod(
  'target.follow',
  z.strictObject({term: termSchema, primary: z.string()}),
  z.strictObject({}),
);

/**
 * Prepares a planned switch-over: the primary of `term` refuses writes and new
 * transactions with `WRITES_PAUSED` for at most the given duration, then
 * accepts them again. The answer contains the end of its log, which does not
 * change during the pause.
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
 * Starts `target.positions` notifications on this connection: one immediately,
 * one for each batch of changes, and at least one per heartbeat period.
 */
export const targetSubscribePositions = defineMethod(
  'target.subscribePositions',
  z.strictObject({heartbeatMilliseconds: z.number().int().positive()}),
  z.strictObject({}),
);

/** Notification of the target's current status. */
export const targetPositions = {
  name: 'target.positions',
  parameters: targetStatusSchema,
} as const;

/** A log record, as replicated between targets. */
export const logRecordSchema = z.strictObject({
  at: logPositionSchema,
  /** Statements applied atomically; empty for a barrier. */
  statements: z.array(statementSchema),
  key: idempotencyKeySchema.optional(),
  /** The answer recorded with the key. */
  rows: rowsSchema.optional(),
  /** True if the record cancels its key. */
  cancelsKey: z.boolean().optional(),
  /** The group's configuration from this record on. */
  configuration: configurationSchema.optional(),
});
export type LogRecord = z.infer<typeof logRecordSchema>;

/**
 * Requests the records after `end` from the primary. If the replica's log has
 * diverged, `keep` in the answer is the last position that both logs share; the
 * replica truncates its log there and requests again. Without new records the
 * primary delays the answer for up to a heartbeat period.
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
    /** End of the primary's log when it answered. */
    primaryEnd: logPositionSchema.optional(),
  }),
);
