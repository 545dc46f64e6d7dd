/** Bundles a program into one file that plain Node.js runs. */
import {type BuildOptions, build} from 'esbuild';

/** yargs looks for its locales beside `import.meta.url`, which cjs lacks. */
const IMPORT_META_URL = 'importMetaUrl';
const BANNER = `const ${IMPORT_META_URL} = require('node:url').pathToFileURL(process.execPath).href;`;

/** Bundles the program whose entry file is named. */
export async function bundleProgram(
  entry: string,
  outfile: string,
  options: Pick<BuildOptions, 'external' | 'plugins' | 'banner'> = {},
): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    define: {'import.meta.url': IMPORT_META_URL},
    banner: {js: BANNER},
    ...options,
  });
}
