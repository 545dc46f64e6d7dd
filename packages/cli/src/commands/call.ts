/** `kelpstep call`: sends a caller's requests to a proxy. */
import {CALLER_METHODS, Failure, IdempotencyKey} from '@kelpstep/protocol';
import type {Result} from 'ts-results';
import type {Argv} from 'yargs';

import {CommandContext, reportResult} from '../command';
import {createHttpClient} from '../http_client';
import {
  RequestOptions,
  buildRequestFields,
  buildStatement,
  buildTransactionField,
  withRequestOptions,
  withStatementOptions,
} from './call_options';
import {addTransactionCommand} from './call_transaction';
import {KEY_OPTION, formatKey, parseKey} from './key_option';

/** Extra time after a request's deadline for its response to arrive. */
const RESPONSE_MARGIN_MS = 5_000;
/** Response time allowed for a request without a deadline. */
const DEFAULT_RESPONSE_TIMEOUT_MS = 60_000;

/**
 * Creates a client for the callers' port that the options name. It waits for a
 * response somewhat longer than the deadline.
 */
export function createCallerClient({proxy, deadline}: RequestOptions) {
  return createHttpClient({
    address: proxy,
    timeout: (deadline ?? DEFAULT_RESPONSE_TIMEOUT_MS) + RESPONSE_MARGIN_MS,
  });
}

/**
 * Adds the key, in the form of the `--key` option, to the result of a
 * successful request, so that the user can repeat the command. A failure is
 * returned unchanged.
 */
function withKey<T extends object>(
  reply: Result<T, Failure>,
  key: IdempotencyKey | undefined,
): Result<object, Failure> {
  return key === undefined
    ? reply
    : reply.map(value => ({...value, key: formatKey(key)}));
}

function addRead(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'read <text>',
    'Run a read statement',
    builder =>
      withStatementOptions(builder).option('maximum-age', {
        type: 'number',
        describe: 'Maximum staleness of the data, in milliseconds',
      }),
    async options => {
      const {maximumAge, transaction} = options;
      const reply = await createCallerClient(options).request(
        CALLER_METHODS.read,
        {
          ...buildRequestFields(options, context.environment, Date.now()),
          ...buildTransactionField(transaction),
          ...(maximumAge === undefined ? {} : {maximumAge}),
          statement: buildStatement(options),
        },
      );
      reportResult(context, reply);
    },
  );
}

function addWrite(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'write <text>',
    'Run a write statement',
    builder => withStatementOptions(builder).option('key', KEY_OPTION),
    async options => {
      const now = Date.now();
      const key =
        options.key === undefined ? undefined : parseKey(options.key, now);
      const reply = await createCallerClient(options).request(
        CALLER_METHODS.write,
        {
          ...buildRequestFields(options, context.environment, now),
          ...buildTransactionField(options.transaction),
          ...(key === undefined ? {} : {key}),
          statement: buildStatement(options),
        },
      );
      reportResult(context, withKey(reply, key));
    },
  );
}

function addBegin(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'begin',
    'Begin a transaction',
    withRequestOptions,
    async options => {
      const fields = buildRequestFields(
        options,
        context.environment,
        Date.now(),
      );
      const client = createCallerClient(options);
      reportResult(context, await client.request(CALLER_METHODS.begin, fields));
    },
  );
}

function addCommit(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'commit <transaction>',
    'Commit a transaction',
    builder =>
      withRequestOptions(builder)
        .positional('transaction', {type: 'string', demandOption: true})
        .option('key', KEY_OPTION),
    async options => {
      const now = Date.now();
      const key =
        options.key === undefined ? undefined : parseKey(options.key, now);
      const reply = await createCallerClient(options).request(
        CALLER_METHODS.commit,
        {
          ...buildRequestFields(options, context.environment, now),
          transaction: options.transaction,
          ...(key === undefined ? {} : {key}),
        },
      );
      reportResult(context, withKey(reply, key));
    },
  );
}

function addRollback(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'rollback <transaction>',
    'Roll a transaction back',
    builder =>
      withRequestOptions(builder).positional('transaction', {
        type: 'string',
        demandOption: true,
      }),
    async options => {
      const reply = await createCallerClient(options).request(
        CALLER_METHODS.rollback,
        {
          ...buildRequestFields(options, context.environment, Date.now()),
          transaction: options.transaction,
        },
      );
      reportResult(context, reply);
    },
  );
}

function addOutcome(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'outcome <key>',
    'Settle the outcome of a write or commit that had a key',
    builder =>
      withRequestOptions(builder).positional('key', {
        type: 'string',
        demandOption: true,
        describe: KEY_OPTION.describe,
      }),
    async options => {
      const now = Date.now();
      const reply = await createCallerClient(options).request(
        CALLER_METHODS.outcome,
        {
          ...buildRequestFields(options, context.environment, now),
          key: parseKey(options.key, now),
        },
      );
      reportResult(context, reply);
    },
  );
}

/** Adds `call` and its subcommands. */
export function addCallCommands(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'call',
    "Send a caller's request to a proxy",
    builder => {
      addRead(builder, context);
      addWrite(builder, context);
      addBegin(builder, context);
      addCommit(builder, context);
      addRollback(builder, context);
      addTransactionCommand(builder, context, createCallerClient);
      addOutcome(builder, context);
      return builder.demandCommand(1, 'Name a request; --help lists them.');
    },
  );
}
