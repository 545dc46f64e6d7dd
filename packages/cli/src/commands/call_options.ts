/** Options of the `call` subcommands. */
import {Scalar, Statement} from '@kelpstep/protocol';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';

/** Options that all callers' requests have; `deadline` in milliseconds. */
export interface RequestOptions {
  readonly proxy: string;
  readonly group: string;
  readonly kind: string | undefined;
  readonly token: string | undefined;
  readonly deadline: number | undefined;
  readonly accountKey: string | undefined;
}

/**
 * Options of requests with a statement; `parameter` holds JSON scalars or plain
 * texts, and `transaction` is an id.
 */
export interface StatementOptions {
  readonly text: string;
  readonly parameter: ReadonlyArray<string | number> | undefined;
  readonly transaction: string | undefined;
}

/** Environment variable that keeps the account key off the command line. */
const ACCOUNT_KEY_VARIABLE = 'KELPSTEP_ACCOUNT_KEY';
const DEFAULT_PROXY_ADDRESS = '127.0.0.1:7101';

/** Adds the options of all requests. */
export function withRequestOptions<T>(yargs: Argv<T>) {
  return yargs
    .option('proxy', {
      type: 'string',
      default: DEFAULT_PROXY_ADDRESS,
      describe: "Address of a proxy's callers' port",
    })
    .option('group', {
      type: 'string',
      demandOption: true,
      describe: 'Group of databases',
    })
    .option('kind', {
      type: 'string',
      describe: 'Request kind, as defined in the manifest',
    })
    .option('token', {
      type: 'string',
      describe: 'Session token of the last response; "" begins a session',
    })
    .option('deadline', {
      type: 'number',
      describe: 'Deadline of the request, in milliseconds from now',
    })
    .option('account-key', {
      type: 'string',
      describe: `Key of a client account; by default the value of ${ACCOUNT_KEY_VARIABLE}`,
      defaultDescription: 'none',
    });
}

/** Adds the options of all requests and those of a statement. */
export function withStatementOptions<T>(yargs: Argv<T>) {
  return withRequestOptions(yargs)
    .positional('text', {
      type: 'string',
      demandOption: true,
      describe: 'Statement in the syntax of the database',
    })
    .option('parameter', {
      alias: 'p',
      type: 'string',
      array: true,
      nargs: 1,
      describe: 'Statement parameter, a JSON scalar or plain text; repeatable',
    })
    .option('transaction', {
      type: 'string',
      describe: 'Id of the transaction to run in, as returned by `begin`',
    });
}

/** Parses a parameter as a JSON scalar; text that is none is used unchanged. */
export function parseScalar(text: string): Scalar {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? text
      : (value as Scalar);
  } catch {
    return text;
  }
}

/**
 * Builds the statement of a request from the text and the parsed parameters.
 */
export function buildStatement(options: StatementOptions): Statement {
  const {text, parameter = []} = options;
  return {text, parameters: parameter.map(value => parseScalar(String(value)))};
}

/**
 * Builds the fields that all requests have. The deadline becomes absolute:
 * `wallClock`, in milliseconds since the Unix epoch, plus the option.
 */
export function buildRequestFields(
  options: RequestOptions,
  environment: CommandContext['environment'],
  wallClock: number,
) {
  const {group, kind, token, deadline} = options;
  const accountKey = options.accountKey ?? environment[ACCOUNT_KEY_VARIABLE];
  return {
    group,
    ...(kind === undefined ? {} : {kind}),
    ...(token === undefined ? {} : {token}),
    ...(deadline === undefined ? {} : {deadline: wallClock + deadline}),
    ...(accountKey === undefined ? {} : {accountKey}),
  };
}

/** Returns the field with the transaction id, or no field without an id. */
export function buildTransactionField(transaction: string | undefined) {
  return transaction === undefined ? {} : {transaction};
}
