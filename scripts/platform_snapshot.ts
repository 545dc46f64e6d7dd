/**
 * Puts the program of deploy/system.toml into a start-up snapshot of Node.js that
 * holds it with its modules loaded: a start is mostly spent on loading them.
 */
import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import {join} from 'node:path';

import {bundleProgram} from './bundle';
import {lazyModules, leftOutModules} from './module_plugins';

/** Libraries read the stack of an error, which has none while a snapshot is built. */
const BANNER = 'Error.stackTraceLimit ??= 10;';
/** Colours of log lines, which are JSON here; it opens the standard output. */
const EXTERNAL = ['supports-color'];

/**
 * Builds the snapshot in a directory and gives its path. Node.js refuses it under
 * flags of V8 other than these.
 */
export async function buildSnapshot(
  directory: string,
  flags: readonly string[],
): Promise<string> {
  const program = join(directory, 'program.cjs');
  const snapshot = join(directory, 'kelpstep.blob');
  rmSync(snapshot, {force: true});
  await bundleProgram('platform/src/main.ts', program, {
    banner: {js: BANNER},
    external: EXTERNAL,
    plugins: [lazyModules, leftOutModules],
  });
  const {status, stderr} = spawnSync(
    process.execPath,
    [...flags, '--snapshot-blob', snapshot, '--build-snapshot', program],
    {env: {PATH: process.env['PATH']}, encoding: 'utf8'},
  );
  if (status !== 0) {
    throw new Error(`The snapshot was not built. ${stderr}`);
  }
  return snapshot;
}
