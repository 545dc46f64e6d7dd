/** Messages by which a proxy runs statements through another one. */
import {defineMethod, logPositionSchema} from '@kelpstep/protocol';
import {
  STATEMENT_ERRORS,
  type StatementAnswer,
  type StatementErrorName,
} from '@kelpstep/statements';
import {z} from 'zod';

const accessSchema = z.enum(['read', 'write']);

const statementSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('begin'), readOnly: z.boolean()}),
  z.object({kind: z.literal('commit')}),
  z.object({kind: z.literal('rollback')}),
  z.object({kind: z.literal('read'), item: z.string()}),
  z.object({kind: z.literal('write'), item: z.string(), data: z.string()}),
  z.object({
    kind: z.literal('execute'),
    name: z.string(),
    parameters: z.string(),
  }),
]);

const shapeSchema = z.object({access: accessSchema, shape: z.string()});

/** Session settings, in the order in which they were set. */
const valuesSchema = z.array(z.tuple([z.string(), z.string()]));

/**
 * The session's route. The sender's one applies, because its configuration may
 * be newer.
 */
const routeSchema = z.object({
  database: z.string(),
  freshness: z.enum(['primary', 'bounded', 'readYourWrites']),
  group: z.string(),
  /** Remaining time of the statement, in milliseconds. */
  timeout: z.number().positive(),
  targetLatency: z.number(),
  priority: z.number(),
  maximumStaleness: z.number(),
  isPublic: z.boolean(),
});

const ERROR_NAMES = Object.keys(STATEMENT_ERRORS) as StatementErrorName[];

const answerSchema = z.object({
  rows: z.array(z.string()).readonly(),
  receipt: z.string(),
  error: z.object({name: z.enum(ERROR_NAMES), text: z.string()}).optional(),
  state: z.enum(['idle', 'open', 'failed']),
  position: logPositionSchema.optional(),
});

/** Number that the sender gives a statement, unique on its connection. */
const workSchema = z.number().int().nonnegative();

/** A statement outside a transaction, or one that begins a transaction. */
const relayedStatementSchema = z.object({
  work: workSchema,
  /** Name of the sending proxy, for the log. */
  sender: z.string(),
  id: z.string(),
  route: routeSchema,
  /** Client account that is passed to targets. */
  account: z.string().optional(),
  statement: statementSchema,
  shape: shapeSchema.optional(),
  values: valuesSchema,
  lastCommit: logPositionSchema.optional(),
  needsPrimary: z.boolean(),
  isWrite: z.boolean(),
  /**
   * False if it may run only if a target is expected to be available at once.
   */
  mayWait: z.boolean(),
});
export type RelayedStatement = z.infer<typeof relayedStatementSchema>;

const relayResultSchema = z.discriminatedUnion('kind', [
  /** The statement has certainly not run, except for reads that were lost. */
  z.object({
    kind: z.literal('notRun'),
    reason: z.string(),
    /** Lost attempts of a read, which may have run; 0 if left out. */
    runs: z.number().int().nonnegative().optional(),
    /**
     * Milliseconds until the sender of this answer expects to start such a
     * statement; undefined if this is unknown.
     */
    wait: z.number().nonnegative().optional(),
  }),
  z.object({
    kind: z.literal('ended'),
    answer: answerSchema,
    target: z.string(),
    attempts: z.number(),
    /** Attempts that may have run; older proxies don't send it. */
    runs: z.number().int().nonnegative().optional(),
    reason: z.string(),
    /** True if a transaction is open under the statement's number. */
    isPinned: z.boolean(),
  }),
]);
export type RelayResult = z.infer<typeof relayResultSchema>;

/** Runs a statement outside a transaction, or begins a transaction. */
export const relayStatement = defineMethod(
  'relay.statement',
  relayedStatementSchema,
  relayResultSchema,
);

const pinnedStatementSchema = z.object({
  /** Number of the statement that began the transaction. */
  work: workSchema,
  id: z.string(),
  statement: statementSchema,
  shape: shapeSchema.optional(),
  values: valuesSchema,
  /** Timeout of the statement, in milliseconds. */
  timeout: z.number(),
});
export type PinnedStatement = z.infer<typeof pinnedStatementSchema>;

const pinnedResultSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('answered'), answer: answerSchema}),
  /** The statement may have run. */
  z.object({kind: z.literal('lost')}),
]);
export type PinnedResult = z.infer<typeof pinnedResultSchema>;

/** Runs a statement inside a transaction that `relayStatement` began. */
export const relayPinned = defineMethod(
  'relay.pinned',
  pinnedStatementSchema,
  pinnedResultSchema,
);

/** Checks whether the other proxy reaches the primary of a group. */
export const relayLeader = defineMethod(
  'relay.leader',
  z.object({group: z.string()}),
  z.object({
    isReached: z.boolean(),
    /**
     * True if it reaches a target other than the primary, or if the group has no
     * synchronous replicas. Older proxies don't send it; it then counts as true.
     */
    reachesReplica: z.boolean().optional(),
  }),
);

/** Asks which commits of a group were acknowledged to the other proxy. */
export const relayCommits = defineMethod(
  'relay.commits',
  z.object({group: z.string()}),
  z.object({
    newestCommit: z
      .object({
        term: z.number().int().nonnegative(),
        after: logPositionSchema,
      })
      .optional(),
    mayLackCopies: z.boolean(),
  }),
);

/** Heartbeat; an answer shows that the other proxy is responsive. */
export const relayPing = defineMethod('relay.ping', z.object({}), z.object({}));

/**
 * Name of the notification that a statement's answer is no longer awaited, or
 * that a transaction has ended.
 */
export const RELAY_END = 'relay.end';
export const relayEndSchema = z.object({work: workSchema});

/** Returns the answer with the undefined fields, which JSON omits. */
export function readAnswer(
  answer: z.infer<typeof answerSchema>,
): StatementAnswer {
  const {error, position, ...rest} = answer;
  return {...rest, error, position};
}
