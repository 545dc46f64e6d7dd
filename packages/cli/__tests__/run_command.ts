/** Runs command lines in tests and captures their output. */
import {runCommandLine} from '..';

/** Exit code and captured output of a command. */
export interface CommandRun {
  readonly code: number;
  /** Standard output, one element for each result (as JSON) or line. */
  readonly results: readonly string[];
  /** Lines of standard error. */
  readonly errors: readonly string[];
}

/**
 * Runs a command line in this process; `parameters` do not include the program.
 */
export async function runCommand(
  parameters: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<CommandRun> {
  const results: string[] = [];
  const errors: string[] = [];
  const code = await runCommandLine(parameters, {
    output: {
      result: value => results.push(JSON.stringify(value)),
      line: text => results.push(text),
      error: text => errors.push(text),
    },
    environment,
  });
  return {code, results, errors};
}
