/** What the commands share. */
import type {Failure} from '@kelpstep/protocol';
import type {Result} from 'ts-results';
import type {Argv} from 'yargs';

import type {ConsoleOutput} from './console_output';
import {EXIT_CODES, ExitCode, exitCodeOf} from './exit_code';

/** What a command needs of its surroundings. */
export interface CommandContext {
  readonly output: ConsoleOutput;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Sets the exit code of the command. */
  exit(code: ExitCode): void;
}

/** Adds a command to the command line. */
export type CommandBuilder = (yargs: Argv, context: CommandContext) => Argv;

/** Reports a failure on the error stream and sets the exit code. */
export function reportFailure(context: CommandContext, failure: Failure): void {
  const {name, message, outcome, retryAfter, details = []} = failure;
  const advice =
    retryAfter === undefined ? '' : ` Try again in ${retryAfter} ms.`;
  context.output.error(`${name} (${outcome}): ${message}${advice}`);
  details.forEach(detail => context.output.error(detail));
  context.exit(exitCodeOf(name, outcome));
}

/** Writes a result, or reports its failure. */
export function report<T>(
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
