/** Types and output functions shared by all commands. */
import type {Failure} from '@kelpstep/protocol';
import type {Result} from 'ts-results';
import type {Argv} from 'yargs';

import type {ConsoleOutput} from './console_output';
import {EXIT_CODES, ExitCode, getExitCode} from './exit_code';

/** Output, environment variables and exit code of a running command. */
export interface CommandContext {
  readonly output: ConsoleOutput;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Sets the exit code; the command keeps running. */
  exit(code: ExitCode): void;
}

/** Adds a command to the parser. */
export type CommandBuilder = (yargs: Argv, context: CommandContext) => Argv;

/** Writes a failure to the error output and sets the exit code. */
export function reportFailure(context: CommandContext, failure: Failure): void {
  const {name, message, outcome, retryAfter, details = []} = failure;
  const advice =
    retryAfter === undefined ? '' : ` Retry after ${retryAfter} ms.`;
  context.output.error(`${name} (${outcome}): ${message}${advice}`);
  details.forEach(detail => context.output.error(detail));
  context.exit(getExitCode(name, outcome));
}

/** Writes a result and sets exit code 0, or reports the failure. */
export function reportResult<T>(
  context: CommandContext,
  result: Result<T, Failure>,
): void {
  if (result.ok) {
    context.output.result(result.val);
    context.exit(EXIT_CODES.ok);
  } else {
    reportFailure(context, result.val);
  }
}
