/** Builds the start-up snapshot for deploy/system.toml in target/. */
import {mkdirSync} from 'node:fs';

import {buildSnapshot} from './platform_snapshot';

const OUTPUT = 'target';
/** V8 flags of the `run` command in deploy/system.toml; they must be equal. */
const V8_FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=4'];

mkdirSync(OUTPUT, {recursive: true});
buildSnapshot(OUTPUT, V8_FLAGS).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
