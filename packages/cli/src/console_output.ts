/** Where a command writes: results on one stream, all else on the other. */

/** The streams of a command. */
export interface ConsoleOutput {
  /** Writes a result as JSON. */
  result(value: unknown): void;
  /** Writes a line of a story or of help. */
  line(text: string): void;
  /** Writes a line that is no result: an error, a hint. */
  error(text: string): void;
}

const INDENTATION = 2;

/** Writes to the process's standard streams. */
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
