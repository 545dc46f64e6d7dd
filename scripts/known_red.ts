/**
 * Judges a test run by its TAP output and KNOWN-RED.txt: tests named there may
 * fail, and are printed; any other failure fails the run.
 */

/** Most lines that KNOWN-RED.txt may have. */
export const MAXIMUM_KNOWN_RED = 3;

/** A run's failures. */
export interface Verdict {
  /** Failed tests that are listed. */
  readonly knownRed: readonly string[];
  /** Failed tests that are not. */
  readonly unexpected: readonly string[];
}

/** Names of the listed tests: the text in quotes of each line. */
export function readKnownRed(text: string): string[] {
  const lines = text
    .split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'));
  if (lines.length > MAXIMUM_KNOWN_RED) {
    throw new Error(`KNOWN-RED.txt has more than ${MAXIMUM_KNOWN_RED} lines.`);
  }
  return lines.map(line => {
    const name = /"([^"]+)"/.exec(line)?.[1];
    if (name === undefined) {
      throw new Error(`KNOWN-RED.txt names no test in quotes: ${line}`);
    }
    return name;
  });
}

/** Failed tests of a TAP output, without the suites and files around them. */
export function findFailures(tap: string): string[] {
  const failures: string[] = [];
  let current: string | undefined;
  for (const line of tap.split('\n')) {
    const failed = /^\s*not ok \d+ - (.*)$/.exec(line);
    if (failed !== null) {
      current = failed[1];
    }
    const type = /^\s*failureType: '(\w+)'/.exec(line);
    if (type !== null && current !== undefined) {
      if (type[1] !== 'subtestsFailed') {
        failures.push(current);
      }
      current = undefined;
    }
  }
  return failures;
}

/** Sorts the failures of a run. */
export function judgeRun(tap: string, listed: readonly string[]): Verdict {
  const failures = findFailures(tap);
  return {
    knownRed: failures.filter(name => listed.includes(name)),
    unexpected: failures.filter(name => !listed.includes(name)),
  };
}
