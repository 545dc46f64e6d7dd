/** Builds the program of deploy/system.toml into target/. */
import {mkdirSync} from 'node:fs';

import {buildSnapshot} from './platform_snapshot';

const OUTPUT = 'target';
/** Those of `run` in deploy/system.toml. */
const FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=4'];

mkdirSync(OUTPUT, {recursive: true});
buildSnapshot(OUTPUT, FLAGS).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
