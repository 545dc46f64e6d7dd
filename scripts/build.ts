/**
 * Builds `dist/kelpstep`, one program that holds all it needs: the code as one
 * file, injected into a copy of the node program that runs this script.
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
const UNFINISHED = `${OUTPUT}/kelpstep.unfinished`;
const PROGRAM = `${OUTPUT}/kelpstep`;

/** Names of Node.js for single-executable applications. */
const BLOB_NAME = 'NODE_SEA_BLOB';
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const CHECK_TIMEOUT_MILLISECONDS = 60_000;

function makeBlob(): void {
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
  copyFileSync(process.execPath, UNFINISHED);
  chmodSync(UNFINISHED, 0o755);
  await inject(UNFINISHED, BLOB_NAME, readFileSync(BLOB), {
    sentinelFuse: SENTINEL,
  });
  renameSync(UNFINISHED, PROGRAM);
}

/** Runs the program from another directory, as on a machine without sources. */
function check(...parameters: string[]): void {
  const output = execFileSync(PROGRAM, parameters, {
    cwd: '/',
    encoding: 'utf8',
    timeout: CHECK_TIMEOUT_MILLISECONDS,
  });
  process.stdout.write(`kelpstep ${parameters.join(' ')}\n${output}`);
}

async function run(): Promise<void> {
  mkdirSync(OUTPUT, {recursive: true});
  await bundleProgram('packages/cli/src/main.ts', BUNDLE);
  makeBlob();
  await injectBlob();
  check('--version');
  check('demo', '--once');
}

run().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
