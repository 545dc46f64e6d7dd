/**
 * Builds a Node.js start-up snapshot of the program that deploy/system.toml
 * runs. The snapshot contains the loaded modules, because loading them takes
 * most of the start-up time.
 */
import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import {join} from 'node:path';

import {bundleProgram} from './bundle';
import {excludedModulesPlugin, lazyModulesPlugin} from './module_plugins';

/**
 * Code at the start of the bundle. Without this limit, errors have no stack
 * while a snapshot is built, and libraries read the stack of an error.
 */
const BANNER = 'Error.stackTraceLimit ??= 10;';
/**
 * Modules left out of the bundle. `supports-color` would open standard output;
 * it serves to colour log lines, which are JSON here.
 */
const EXTERNAL_MODULES = ['supports-color'];

/**
 * Builds the snapshot in a directory and returns its path. Node.js loads it
 * only under the same V8 `flags`.
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
    external: EXTERNAL_MODULES,
    plugins: [lazyModulesPlugin, excludedModulesPlugin],
  });
  const {status, stderr} = spawnSync(
    process.execPath,
    [...flags, '--snapshot-blob', snapshot, '--build-snapshot', program],
    {env: {PATH: process.env['PATH']}, encoding: 'utf8'},
  );
  if (status !== 0) {
    throw new Error(`Building the start-up snapshot failed: ${stderr}`);
  }
  return snapshot;
}
