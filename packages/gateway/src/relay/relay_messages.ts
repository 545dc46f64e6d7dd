/** Messages by which a proxy has statements run by another one. */
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

/** Values of the session, in the order in which they were set. */
const valuesSchema = z.array(z.tuple([z.string(), z.string()]));

/** The sender's route counts: its configuration may be the newer one. */
const routeSchema = z.object({
  database: z.string(),
  freshness: z.enum(['primary', 'bounded', 'readYourWrites']),
  group: z.string(),
  /** What is left of the statement's time, in milliseconds. */
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

/** The sender's number for a statement, unique on its connection. */
const workSchema = z.number().int().nonnegative();

/** A statement outside a transaction, or the start of one. */
const relayedStatementSchema = z.object({
  work: workSchema,
  /** Name of the proxy that sends it, for the log. */
  sender: z.string(),
  id: z.string(),
  route: routeSchema,
  /** Client account that targets are told. */
  account: z.string().optional(),
  statement: statementSchema,
  shape: shapeSchema.optional(),
  values: valuesSchema,
  lastCommit: logPositionSchema.optional(),
  needsPrimary: z.boolean(),
  isWrite: z.boolean(),
  /** False: only if a place is expected to be found at once. */
  mayWait: z.boolean(),
});
export type RelayedStatement = z.infer<typeof relayedStatementSchema>;

const relayResultSchema = z.discriminatedUnion('kind', [
  /** Certainly not run. */
  z.object({kind: z.literal('notRun'), reason: z.string()}),
  z.object({
    kind: z.literal('ended'),
    answer: answerSchema,
    target: z.string(),
    attempts: z.number(),
    reason: z.string(),
    /** True if a transaction is open under the statement's number. */
    isPinned: z.boolean(),
  }),
]);
export type RelayResult = z.infer<typeof relayResultSchema>;

/** Runs a statement. */
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
  /** Milliseconds. */
  timeout: z.number(),
});
export type PinnedStatement = z.infer<typeof pinnedStatementSchema>;

const pinnedResultSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('answered'), answer: answerSchema}),
  /** It may have run. */
  z.object({kind: z.literal('lost')}),
]);
export type PinnedResult = z.infer<typeof pinnedResultSchema>;

/** Runs a statement inside a transaction that was begun here. */
export const relayPinned = defineMethod(
  'relay.pinned',
  pinnedStatementSchema,
  pinnedResultSchema,
);

/** Asks whether the other proxy reaches the primary of a group. */
export const relayLeader = defineMethod(
  'relay.leader',
  z.object({group: z.string()}),
  z.object({isReached: z.boolean()}),
);

/** Asks for a sign of life. */
export const relayPing = defineMethod('relay.ping', z.object({}), z.object({}));

/** Notification: nobody waits for this work any more, or its end is known. */
export const RELAY_END = 'relay.end';
export const relayEndSchema = z.object({work: workSchema});

/** An answer as it was sent; what JSON leaves out is there again. */
export function readAnswer(
  answer: z.infer<typeof answerSchema>,
): StatementAnswer {
  const {error, position, ...rest} = answer;
  return {...rest, error, position};
}
