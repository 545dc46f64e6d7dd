/**
 * Compares the failures in a run's TAP output with KNOWN-RED.txt, the list of
 * tests that are known to fail. Listed failures are printed and tolerated; any
 * other failure fails the run.
 */

/** An entry of KNOWN-RED.txt. */
export interface KnownFailure {
  /** Path of the test's file. */
  readonly file: string;
  readonly name: string;
  /**
   * Text that the failure shows, such as the seeds that fail; the test is not
   * tolerated if it fails in another way. Undefined if any failure is listed.
   */
  readonly shown: string | undefined;
}

/** A failed test of a run. */
export interface Failure {
  readonly name: string;
  /** The lines that the test runner printed about it. */
  readonly diagnostic: string;
}

/** Names of the failed tests of a run. */
export interface RunFailures {
  /** Failed tests that KNOWN-RED.txt lists. */
  readonly expected: readonly string[];
  /** Failed tests that KNOWN-RED.txt does not list, or not with this failure. */
  readonly unexpected: readonly string[];
}

/** What each entry has to say, and how that is recognized. */
const REQUIRED: ReadonlyArray<readonly [string, RegExp]> = [
  ['a test in quotes', /^\S+\.spec\.ts "[^"]+"/],
  ['its seeds, or "no seed"', /\bseeds? \d|\bno seed\b/],
  ['an issue', /\bissues? \d+/],
  ['a command', /\bnode --import tsx --test \S+\.spec\.ts/],
];

/**
 * Returns the entries of `text`: one per line, as `FILE "TEST": what was seen`,
 * with seeds, issue and command, and optionally `shows "TEXT"`. Empty lines and
 * lines that begin with # are ignored. Throws if an entry is incomplete.
 */
export function readKnownFailures(text: string): KnownFailure[] {
  const lines = text
    .split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'));
  return lines.map(line => {
    for (const [part, pattern] of REQUIRED) {
      if (!pattern.test(line)) {
        throw new Error(`KNOWN-RED.txt lacks ${part}: ${line}`);
      }
    }
    const [, file = '', name = ''] = /^(\S+) "([^"]+)"/.exec(line) ?? [];
    return {file, name, shown: /\bshows "([^"]+)"/.exec(line)?.[1]};
  });
}

/**
 * Returns the names of listed tests that don't exist. `readFile` returns the
 * content of a file, or undefined if there is none.
 */
export function findMissingTests(
  listed: readonly KnownFailure[],
  readFile: (path: string) => string | undefined,
): string[] {
  return listed
    .filter(({file, name}) => !(readFile(file) ?? '').includes(`'${name}'`))
    .map(({name}) => name);
}

/**
 * Returns the failed tests of a TAP output, without the suites and files that
 * failed only because a test in them did.
 */
export function findFailures(tap: string): Failure[] {
  const failures: Failure[] = [];
  for (const block of tap.split(/^(?= *not ok \d+ - )/m)) {
    const name = /^ *not ok \d+ - (.*)$/m.exec(block)?.[1];
    const [diagnostic = ''] = block.split(/^\s*\.\.\.$/m);
    const type = /^\s*failureType: '(\w+)'/m.exec(diagnostic)?.[1];
    const isOwn = type !== undefined && type !== 'subtestsFailed';
    if (name !== undefined && isOwn) {
      failures.push({name, diagnostic});
    }
  }
  return failures;
}

/** Splits the failures of a run into listed and unlisted tests. */
export function classifyFailures(
  tap: string,
  listed: readonly KnownFailure[],
): RunFailures {
  const failures = findFailures(tap);
  const isListed = ({name, diagnostic}: Failure) =>
    listed.some(
      known => known.name === name && diagnostic.includes(known.shown ?? ''),
    );
  return {
    expected: failures.filter(isListed).map(({name}) => name),
    unexpected: failures
      .filter(failure => !isListed(failure))
      .map(({name}) => name),
  };
}
