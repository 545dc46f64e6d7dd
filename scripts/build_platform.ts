/** Builds the program of deploy/system.toml: one file that plain Node.js runs. */
import {bundleProgram} from './bundle';

bundleProgram('platform/src/main.ts', 'target/kelpstep-platform.cjs').catch(
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  },
);
