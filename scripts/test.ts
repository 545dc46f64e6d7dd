/**
 * Runs the test files of all packages, or those whose path contains one of the
 * arguments: `npm test [-- PART_OF_PATH ...]`.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

import {
  type KnownFailure,
  classifyFailures,
  findMissingTests,
  readKnownFailures,
} from './known_red';

const TEST_ROOTS = ['packages', 'platform'];
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';

function findTests(): string[] {
  return TEST_ROOTS.flatMap(root =>
    readdirSync(root, {recursive: true, encoding: 'utf8'}).map(path =>
      join(root, path),
    ),
  )
    .filter(path => path.endsWith('.spec.ts') && !path.includes('node_modules'))
    .sort();
}

function readIfPresent(path: string): string | undefined {
  return existsSync(path) ? readFileSync(path, 'utf8') : undefined;
}

/** Returns the list; throws if it is incomplete or names a test that is gone. */
function readListedTests(): KnownFailure[] {
  const listed = readKnownFailures(readIfPresent(KNOWN_FAILURES_FILE) ?? '');
  const missing = findMissingTests(listed, readIfPresent);
  if (missing.length > 0) {
    throw new Error(`KNOWN-RED.txt names missing tests: ${missing.join(', ')}`);
  }
  return listed;
}

/** Returns the exit code of a run: 0 also if only listed tests failed. */
function computeExitCode(tap: string, code: number | null): number {
  const {expected: knownRed, unexpected} = classifyFailures(tap, listed);
  for (const name of knownRed) {
    process.stdout.write(`# KNOWN RED, failed: ${name}\n`);
  }
  if (code !== 0 && knownRed.length > 0 && unexpected.length === 0) {
    return 0;
  }
  return code ?? 1;
}

const listed = readListedTests();
const filters = process.argv.slice(2);
const files = findTests().filter(
  path => filters.length === 0 || filters.some(filter => path.includes(filter)),
);
const run = spawn(
  process.execPath,
  ['--import', 'tsx', '--test', '--test-reporter=tap', ...files],
  {stdio: ['ignore', 'pipe', 'inherit']},
);
let tap = '';
run.stdout.setEncoding('utf8');
run.stdout.on('data', (text: string) => {
  tap += text;
  process.stdout.write(text);
});
run.on('close', code => {
  process.exitCode = computeExitCode(tap, code);
});
