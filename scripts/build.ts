/**
 * Builds `dist/kelpstep`, a single-executable application of Node.js: the
 * bundled command, injected into a copy of the node binary that runs this
 * script.
 */
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {resolve} from 'node:path';
import {inject} from 'postject';

import {bundleProgram} from './bundle';

const OUTPUT = resolve('dist');
const BUNDLE = `${OUTPUT}/kelpstep.cjs`;
const SEA_CONFIGURATION = `${OUTPUT}/sea.json`;
const BLOB = `${OUTPUT}/sea.blob`;
const TEMPORARY_PROGRAM = `${OUTPUT}/kelpstep.unfinished`;
const PROGRAM = `${OUTPUT}/kelpstep`;

/** Name and fuse that Node.js prescribes for single-executable applications. */
const BLOB_NAME = 'NODE_SEA_BLOB';
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const CHECK_TIMEOUT_MS = 60_000;

function createBlob(): void {
  const configuration = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  };
  writeFileSync(SEA_CONFIGURATION, JSON.stringify(configuration));
  execFileSync(process.execPath, [
    '--experimental-sea-config',
    SEA_CONFIGURATION,
  ]);
}

async function injectBlob(): Promise<void> {
  copyFileSync(process.execPath, TEMPORARY_PROGRAM);
  chmodSync(TEMPORARY_PROGRAM, 0o755);
  await inject(TEMPORARY_PROGRAM, BLOB_NAME, readFileSync(BLOB), {
    sentinelFuse: SENTINEL_FUSE,
  });
  renameSync(TEMPORARY_PROGRAM, PROGRAM);
}

/** Runs the program in `/`, where it finds no sources and no packages. */
function runBuiltProgram(...parameters: string[]): void {
  const output = execFileSync(PROGRAM, parameters, {
    cwd: '/',
    encoding: 'utf8',
    timeout: CHECK_TIMEOUT_MS,
  });
  process.stdout.write(`kelpstep ${parameters.join(' ')}\n${output}`);
}

async function build(): Promise<void> {
  mkdirSync(OUTPUT, {recursive: true});
  await bundleProgram('packages/cli/src/main.ts', BUNDLE);
  createBlob();
  await injectBlob();
  runBuiltProgram('--version');
  runBuiltProgram('demo', '--once');
}

build().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
