/** Runs the test files of all packages: `npm test [-- part of a path ...]`. */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import {join} from 'node:path';

const PACKAGES = 'packages';

function findTests(): string[] {
  return readdirSync(PACKAGES, {recursive: true, encoding: 'utf8'})
    .filter(path => path.endsWith('.spec.ts') && !path.includes('node_modules'))
    .map(path => join(PACKAGES, path))
    .sort();
}

const filters = process.argv.slice(2);
const files = findTests().filter(
  path => filters.length === 0 || filters.some(filter => path.includes(filter)),
);
const run = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', ...files],
  {stdio: 'inherit'},
);
process.exitCode = run.status ?? 1;
