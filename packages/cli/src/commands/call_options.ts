/** Options of the commands that send a caller's request. */
import {Scalar, Statement} from '@kelpstep/protocol';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';

/** Options that all callers' requests have. */
export interface RequestOptions {
  readonly proxy: string;
  readonly group: string;
  readonly kind: string | undefined;
  readonly token: string | undefined;
  readonly deadline: number | undefined;
  readonly accountKey: string | undefined;
}

/** Options of a statement. */
export interface StatementOptions {
  readonly text: string;
  readonly parameter: ReadonlyArray<string | number> | undefined;
  readonly transaction: string | undefined;
}

/** So that a key needn't stand among a command's parameters. */
const ACCOUNT_KEY_VARIABLE = 'KELPSTEP_ACCOUNT_KEY';
const DEFAULT_PROXY = '127.0.0.1:7101';

/** Adds the options of all requests. */
export function withRequestOptions<T>(yargs: Argv<T>) {
  return yargs
    .option('proxy', {
      type: 'string',
      default: DEFAULT_PROXY,
      describe: "Address of a proxy's callers' port",
    })
    .option('group', {
      type: 'string',
      demandOption: true,
      describe: 'Group of databases',
    })
    .option('kind', {type: 'string', describe: 'Request kind of the manifest'})
    .option('token', {
      type: 'string',
      describe: 'Token of the last answer; "" begins a session',
    })
    .option('deadline', {
      type: 'number',
      describe: 'Time for the answer, milliseconds from now',
    })
    .option('account-key', {
      type: 'string',
      describe: `Key of an account; by default that of ${ACCOUNT_KEY_VARIABLE}`,
      defaultDescription: 'none',
    });
}

/** Adds the options of requests with a statement. */
export function withStatementOptions<T>(yargs: Argv<T>) {
  return withRequestOptions(yargs)
    .positional('text', {
      type: 'string',
      demandOption: true,
      describe: 'Statement, as the database reads it',
    })
    .option('parameter', {
      alias: 'p',
      type: 'string',
      array: true,
      nargs: 1,
      describe: 'Parameter of the statement, as JSON or as text; repeatable',
    })
    .option('transaction', {
      type: 'string',
      describe: 'Transaction to run in, as `begin` gave it',
    });
}

/** Reads a parameter: JSON if it is a scalar's, else the text itself. */
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

/** The statement that the options give. */
export function statementOf(options: StatementOptions): Statement {
  const {text, parameter = []} = options;
  return {text, parameters: parameter.map(each => parseScalar(String(each)))};
}

/** The fields that all requests have. */
export function requestFieldsOf(
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

/** The field that names a transaction. */
export function transactionFieldOf(transaction: string | undefined) {
  return transaction === undefined ? {} : {transaction};
}
