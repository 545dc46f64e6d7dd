/** Runs command lines and keeps what they write. */
import {runCommandLine} from '..';

/** What a command did. */
export interface CommandRun {
  readonly code: number;
  /** Lines of standard output; a result is one line of JSON. */
  readonly results: readonly string[];
  readonly errors: readonly string[];
}

/** Runs a command line in this process. */
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
