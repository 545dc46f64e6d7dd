/** Parses a command line, runs its command and returns the exit code. */
import yargs from 'yargs';

import cliPackage from '../package.json';
import type {CommandBuilder, CommandContext} from './command';
import {addAccountCommand} from './commands/account';
import {addAuditCommand} from './commands/audit';
import {addCallCommands} from './commands/call';
import {addDemoCommand} from './commands/demo';
import {addLoadCommand} from './commands/load';
import {addManifestCommands} from './commands/manifest';
import {addProxyCommand} from './commands/proxy';
import {addRequestsCommand} from './commands/requests';
import {addStatusCommand} from './commands/status';
import {ConsoleOutput} from './console_output';
import {EXIT_CODES, ExitCode} from './exit_code';

const COMMAND_BUILDERS: readonly CommandBuilder[] = [
  addProxyCommand,
  addManifestCommands,
  addAccountCommand,
  addStatusCommand,
  addLoadCommand,
  addAuditCommand,
  addRequestsCommand,
  addCallCommands,
  addDemoCommand,
];

const EXIT_CODE_HELP =
  'Exit codes: 0 success, 1 failure (nothing was run), 2 wrong usage, 3 ' +
  'findings in a file, 4 version conflict, 5 outcome unknown.';

/** Output and environment variables of a command line. */
export interface CommandLineOptions {
  readonly output: ConsoleOutput;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Runs a command and returns its exit code. `parameters` do not include the
 * name of the program.
 */
export async function runCommandLine(
  parameters: readonly string[],
  options: CommandLineOptions,
): Promise<ExitCode> {
  const {output, environment} = options;
  let exitCode: ExitCode = EXIT_CODES.ok;
  const context: CommandContext = {
    output,
    environment,
    exit(code) {
      exitCode = code;
    },
  };

  function throwUsageError(
    message: string | undefined,
    error: Error | undefined,
  ): never {
    throw error ?? new Error(message);
  }

  const parser = yargs()
    .scriptName('kelpstep')
    .locale('en')
    .usage('$0 <command>\n\nA database proxy with session consistency.')
    .version(cliPackage.version)
    .help()
    .strict()
    .demandCommand(1, 'Name a command; --help lists them.')
    .recommendCommands()
    .epilogue(EXIT_CODE_HELP)
    .wrap(null)
    .exitProcess(false)
    .fail(throwUsageError);
  COMMAND_BUILDERS.forEach(add => add(parser, context));
  try {
    await parser.parseAsync([...parameters], {}, (unused, unusedArgv, text) => {
      if (text !== '') {
        output.line(text);
      }
    });
  } catch (error) {
    output.error(error instanceof Error ? error.message : String(error));
    return EXIT_CODES.usage;
  }
  return exitCode;
}
