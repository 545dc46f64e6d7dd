/** `kelpstep call transaction`: runs several statements as one transaction. */
import {
  CALLER_METHODS,
  Failure,
  Statement,
  statementSchema,
} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';
import type {Argv} from 'yargs';

import {CommandContext, reportResult} from '../command';
import type {HttpClient} from '../http_client';
import {
  RequestOptions,
  buildRequestFields,
  withRequestOptions,
} from './call_options';
import {KEY_OPTION, formatKey, parseKey} from './key_option';

interface TransactionStep {
  readonly mode: 'read' | 'write';
  readonly statement: Statement;
}

type RequestFields = ReturnType<typeof buildRequestFields>;

/**
 * Form of a statement argument: `read: TEXT` or `write: TEXT`, optionally
 * followed by a JSON array of parameters.
 */
const STEP_PATTERN = /^(read|write):\s*(.*?)\s*(\[.*\])?$/s;
const STEP_FORMAT_MESSAGE =
  'Statement must have the form: write: TEXT ["PARAMETER", 1]';

function parseStep(text: string): TransactionStep {
  const match = STEP_PATTERN.exec(text);
  const statement = statementSchema.safeParse({
    text: match?.[2],
    parameters: JSON.parse(match?.[3] ?? '[]'),
  });
  if (match === null || !statement.success) {
    throw new Error(STEP_FORMAT_MESSAGE);
  }
  const mode = match[1] === 'read' ? 'read' : 'write';
  return {mode, statement: statement.data};
}

/** Runs the steps in order and stops at the first failure; returns all rows. */
async function runSteps(
  client: HttpClient,
  fields: RequestFields,
  transaction: string,
  steps: readonly TransactionStep[],
): Promise<Result<unknown[], Failure>> {
  const rows: unknown[] = [];
  for (const {mode, statement} of steps) {
    const request = {...fields, transaction, statement};
    const reply =
      mode === 'read'
        ? await client.request(CALLER_METHODS.read, request)
        : await client.request(CALLER_METHODS.write, request);
    if (reply.err) {
      return reply;
    }
    rows.push(reply.val.rows);
  }
  return Ok(rows);
}

/** Runs the steps in a transaction; rolls back if one of them fails. */
async function runTransaction(
  client: HttpClient,
  fields: RequestFields,
  steps: readonly TransactionStep[],
  key: ReturnType<typeof parseKey>,
): Promise<Result<object, Failure>> {
  const begun = await client.request(CALLER_METHODS.begin, fields);
  if (begun.err) {
    return begun;
  }
  const {transaction} = begun.val;
  const rows = await runSteps(client, fields, transaction, steps);
  if (rows.err) {
    await client.request(CALLER_METHODS.rollback, {...fields, transaction});
    // Without a commit, no step of the transaction takes effect.
    return Err({...rows.val, outcome: 'not_run'});
  }
  const request = {...fields, transaction, key};
  const committed = await client.request(CALLER_METHODS.commit, request);
  return committed.map(value => ({
    ...value,
    rows: rows.val,
    key: formatKey(key),
  }));
}

export function addTransactionCommand(
  yargs: Argv,
  context: CommandContext,
  createClient: (options: RequestOptions) => HttpClient,
): Argv {
  return yargs.command(
    'transaction <statements..>',
    'Run "read: ..." and "write: ..." statements as one transaction',
    builder =>
      withRequestOptions(builder)
        .positional('statements', {
          type: 'string',
          array: true,
          demandOption: true,
        })
        .option('key', {...KEY_OPTION, demandOption: true}),
    async options => {
      const now = Date.now();
      const reply = await runTransaction(
        createClient(options),
        buildRequestFields(options, context.environment, now),
        options.statements.map(parseStep),
        parseKey(options.key, now),
      );
      reportResult(context, reply);
    },
  );
}
