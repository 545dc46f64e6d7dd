/**
 * Builds the programs that are measured as an operator's build does: a
 * development loader wraps every function, which costs more than the request.
 */
import {basename, join} from 'node:path';

import {bundleProgram} from '../../../../scripts/bundle';

/** Programs as files that plain Node.js runs. */
export interface Bundles {
  readonly proxy: string;
  readonly standIn: string;
  readonly loadGenerator: string;
}

async function bundle(
  entry: string,
  directory: string,
  name: string,
): Promise<string> {
  const outfile = join(directory, `${basename(name)}.cjs`);
  await bundleProgram(entry, outfile);
  return outfile;
}

/** Builds all programs into a directory. */
export async function buildPrograms(directory: string): Promise<Bundles> {
  const generator = 'packages/bench/src/proxied_read/load_generator.ts';
  const [proxy, standIn, loadGenerator] = await Promise.all([
    bundle('packages/cli/src/main.ts', directory, 'proxy'),
    bundle('packages/stand-ins/src/main.ts', directory, 'stand-in'),
    bundle(generator, directory, 'load-generator'),
  ]);
  return {proxy, standIn, loadGenerator};
}
