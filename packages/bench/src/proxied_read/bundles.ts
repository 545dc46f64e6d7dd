/**
 * Bundles the measured programs like the production build. A development loader
 * wraps every function, which costs more than handling a request.
 */
import {basename, join} from 'node:path';

import {bundleProgram} from '../../../../scripts/bundle';

/** Paths of bundled programs that Node.js runs without a loader. */
export interface ProgramFiles {
  readonly proxy: string;
  readonly standIn: string;
  readonly loadGenerator: string;
}

async function bundleFile(
  entry: string,
  directory: string,
  name: string,
): Promise<string> {
  const outfile = join(directory, `${basename(name)}.cjs`);
  await bundleProgram(entry, outfile);
  return outfile;
}

/** Bundles all programs into a directory. */
export async function buildPrograms(directory: string): Promise<ProgramFiles> {
  const generator = 'packages/bench/src/proxied_read/load_generator.ts';
  const [proxy, standIn, loadGenerator] = await Promise.all([
    bundleFile('packages/cli/src/main.ts', directory, 'proxy'),
    bundleFile('packages/stand-ins/src/main.ts', directory, 'stand-in'),
    bundleFile(generator, directory, 'load-generator'),
  ]);
  return {proxy, standIn, loadGenerator};
}
