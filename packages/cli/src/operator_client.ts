/** Options, files and HTTP client of operator commands. */
import {Settings, formatFinding, readSettings} from '@kelpstep/manifest';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

import type {CommandContext} from './command';
import {EXIT_CODES} from './exit_code';
import {HttpClient, createHttpClient} from './http_client';

/** Options that all operator commands have. */
export interface OperatorOptions {
  readonly operator: string | undefined;
  readonly settings: string | undefined;
  readonly timeout: number;
}

/** Environment variable with the operators' token; overrides the settings. */
export const OPERATOR_TOKEN_VARIABLE = 'KELPSTEP_OPERATOR_TOKEN';

const DEFAULT_OPERATOR_ADDRESS = '127.0.0.1:7301';
const DEFAULT_TIMEOUT_MS = 15_000;

/** Adds the options that all operator commands have. */
export function withOperatorOptions<T>(yargs: Argv<T>) {
  return yargs
    .option('operator', {
      type: 'string',
      describe: `Address of a proxy's operators' port [default: from the settings, or ${DEFAULT_OPERATOR_ADDRESS}]`,
    })
    .option('settings', {
      type: 'string',
      describe: `Settings file of a proxy, for its operators' address and token; ${OPERATOR_TOKEN_VARIABLE} overrides the token`,
    })
    .option('timeout', {
      type: 'number',
      default: DEFAULT_TIMEOUT_MS,
      describe: 'Maximum wait for a response, in milliseconds',
    });
}

/** Reads a file, or reports the error and returns undefined. */
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

/** Reads a settings file, or reports its findings and returns undefined. */
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

/**
 * Creates a client for the operators' port that the options name. Returns
 * undefined, after a report, if the settings file is unreadable or invalid.
 */
export function createOperatorClient(
  context: CommandContext,
  options: OperatorOptions,
): HttpClient | undefined {
  const {timeout} = options;
  const environmentToken = context.environment[OPERATOR_TOKEN_VARIABLE];
  if (options.settings === undefined) {
    const address = options.operator ?? DEFAULT_OPERATOR_ADDRESS;
    return createHttpClient({address, token: environmentToken ?? '', timeout});
  }
  const settings = readSettingsOrReport(context, options.settings);
  if (settings === undefined) {
    return undefined;
  }
  return createHttpClient({
    address: options.operator ?? settings.addresses.operators,
    token: environmentToken ?? settings.operatorToken,
    timeout,
  });
}
