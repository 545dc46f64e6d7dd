/** Builds `dist/kelpstep`, one program that holds all it needs. */
import {build} from 'esbuild';

void build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/kelpstep.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
});
