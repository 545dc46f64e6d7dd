/**
 * Builds the program of deploy/system.toml into target/: the program as one
 * file, its code cache, and the loader that plain Node.js runs.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, rmSync} from 'node:fs';

import {bundleProgram} from './bundle';

const OUTPUT = 'target';
const CACHE = `${OUTPUT}/program.cache`;
/** Those of `run` in deploy/system.toml: under others the cache is refused. */
const FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=4'];

async function run(): Promise<void> {
  await bundleProgram('platform/src/main.ts', `${OUTPUT}/program.cjs`);
  await bundleProgram('platform/src/start.ts', `${OUTPUT}/kelpstep.cjs`);
  rmSync(CACHE, {force: true});
  // Without settings the program loads all its code and ends at once.
  spawnSync(
    process.execPath,
    [...FLAGS, `${OUTPUT}/kelpstep.cjs`, '--write-code-cache'],
    {env: {PATH: process.env['PATH']}, stdio: 'ignore'},
  );
  if (!existsSync(CACHE)) {
    throw new Error('The code cache was not written.');
  }
}

run().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
