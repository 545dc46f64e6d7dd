/** Standard output and standard error of a command. */

/** Receives the output of a command. */
export interface ConsoleOutput {
  /** Writes a result to standard output as JSON. */
  result(value: unknown): void;
  /** Writes a line of text to standard output. */
  line(text: string): void;
  /** Writes an error or a hint to standard error. */
  error(text: string): void;
}

const INDENTATION = 2;

/** Creates an output that writes to the standard streams of the process. */
export function createConsoleOutput(): ConsoleOutput {
  const line = (text: string) => {
    process.stdout.write(`${text}\n`);
  };
  return {
    result: value => line(JSON.stringify(value, undefined, INDENTATION)),
    line,
    error: text => {
      process.stderr.write(`${text}\n`);
    },
  };
}
