/** The client of operators' commands: address and token from where they are. */
import {Settings, formatFinding, readSettings} from '@kelpstep/manifest';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

import type {CommandContext} from './command';
import {EXIT_CODES} from './exit_code';
import {HttpClient, createHttpClient} from './http_client';

/** Options of operators' commands. */
export interface OperatorOptions {
  readonly operator: string | undefined;
  readonly settings: string | undefined;
  readonly timeout: number;
}

/** Variable with the operators' token, if no settings are given. */
export const OPERATOR_TOKEN_VARIABLE = 'KELPSTEP_OPERATOR_TOKEN';

const DEFAULT_OPERATOR_ADDRESS = '127.0.0.1:7301';
const DEFAULT_TIMEOUT = 15_000;

/** Adds the options of operators' commands. */
export function withOperatorOptions<T>(yargs: Argv<T>) {
  return yargs
    .option('operator', {
      type: 'string',
      describe: `Address of a proxy's operators' port [default: from the settings, or ${DEFAULT_OPERATOR_ADDRESS}]`,
    })
    .option('settings', {
      type: 'string',
      describe: `Settings of a proxy: its operators' address and token; the token may also stand in ${OPERATOR_TOKEN_VARIABLE}`,
    })
    .option('timeout', {
      type: 'number',
      default: DEFAULT_TIMEOUT,
      describe: 'Longest wait for an answer, milliseconds',
    });
}

/** Reads a file, or reports why not. */
export function readFileOrReport(
  context: CommandContext,
  file: string,
): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    context.output.error(error instanceof Error ? error.message : file);
    context.exit(EXIT_CODES.failure);
    return undefined;
  }
}

/** Reads settings, or reports all their findings. */
export function readSettingsOrReport(
  context: CommandContext,
  file: string,
): Settings | undefined {
  const text = readFileOrReport(context, file);
  if (text === undefined) {
    return undefined;
  }
  const settings = readSettings(text, file);
  if (settings.ok) {
    return settings.val;
  }
  settings.val.forEach(finding => context.output.error(formatFinding(finding)));
  context.exit(EXIT_CODES.findings);
  return undefined;
}

/** Creates the client that the options name, or reports why it can't. */
export function operatorClientOf(
  context: CommandContext,
  options: OperatorOptions,
): HttpClient | undefined {
  const {timeout} = options;
  const given = context.environment[OPERATOR_TOKEN_VARIABLE];
  if (options.settings === undefined) {
    const address = options.operator ?? DEFAULT_OPERATOR_ADDRESS;
    return createHttpClient({address, token: given ?? '', timeout});
  }
  const settings = readSettingsOrReport(context, options.settings);
  if (settings === undefined) {
    return undefined;
  }
  return createHttpClient({
    address: options.operator ?? settings.addresses.operators,
    token: given ?? settings.operatorToken,
    timeout,
  });
}
