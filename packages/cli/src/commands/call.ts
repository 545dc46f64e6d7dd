/** `kelpstep call`: sends a caller's requests to a proxy. */
import {CALLER_METHODS, Failure, IdempotencyKey} from '@kelpstep/protocol';
import type {Result} from 'ts-results';
import type {Argv} from 'yargs';

import {CommandContext, reportResult} from '../command';
import {createHttpClient} from '../http_client';
import {
  RequestOptions,
  requestFieldsOf,
  statementOf,
  transactionFieldOf,
  withRequestOptions,
  withStatementOptions,
} from './call_options';
import {addTransactionCommand} from './call_transaction';
import {KEY_OPTION, formatKey, parseKey} from './key_option';

/** Time beyond the request's own in which its answer may arrive. */
const ANSWER_MARGIN = 5_000;
const LONGEST_ANSWER = 60_000;

/** The client that the options name. */
export function clientOf({proxy, deadline}: RequestOptions) {
  return createHttpClient({
    address: proxy,
    timeout: (deadline ?? LONGEST_ANSWER) + ANSWER_MARGIN,
  });
}

/** Adds the key to an answer, so that the command can be repeated with it. */
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
    'Read',
    builder =>
      withStatementOptions(builder).option('maximum-age', {
        type: 'number',
        describe: 'Oldest data accepted, milliseconds',
      }),
    async options => {
      const {maximumAge, transaction} = options;
      const reply = await clientOf(options).request(CALLER_METHODS.read, {
        ...requestFieldsOf(options, context.environment, Date.now()),
        ...transactionFieldOf(transaction),
        ...(maximumAge === undefined ? {} : {maximumAge}),
        statement: statementOf(options),
      });
      reportResult(context, reply);
    },
  );
}

function addWrite(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'write <text>',
    'Write',
    builder => withStatementOptions(builder).option('key', KEY_OPTION),
    async options => {
      const now = Date.now();
      const key =
        options.key === undefined ? undefined : parseKey(options.key, now);
      const reply = await clientOf(options).request(CALLER_METHODS.write, {
        ...requestFieldsOf(options, context.environment, now),
        ...transactionFieldOf(options.transaction),
        ...(key === undefined ? {} : {key}),
        statement: statementOf(options),
      });
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
      const fields = requestFieldsOf(options, context.environment, Date.now());
      const client = clientOf(options);
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
      const reply = await clientOf(options).request(CALLER_METHODS.commit, {
        ...requestFieldsOf(options, context.environment, now),
        transaction: options.transaction,
        ...(key === undefined ? {} : {key}),
      });
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
      const reply = await clientOf(options).request(CALLER_METHODS.rollback, {
        ...requestFieldsOf(options, context.environment, Date.now()),
        transaction: options.transaction,
      });
      reportResult(context, reply);
    },
  );
}

function addOutcome(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'outcome <key>',
    'Settle what became of a keyed write or commit',
    builder =>
      withRequestOptions(builder).positional('key', {
        type: 'string',
        demandOption: true,
        describe: KEY_OPTION.describe,
      }),
    async options => {
      const now = Date.now();
      const reply = await clientOf(options).request(CALLER_METHODS.outcome, {
        ...requestFieldsOf(options, context.environment, now),
        key: parseKey(options.key, now),
      });
      reportResult(context, reply);
    },
  );
}

/** Adds the commands. */
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
      addTransactionCommand(builder, context, clientOf);
      addOutcome(builder, context);
      return builder.demandCommand(1, 'Name a request; --help lists them.');
    },
  );
}
