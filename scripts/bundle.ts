/** Bundles a program into one CommonJS file that Node.js runs directly. */
import {type BuildOptions, build} from 'esbuild';

/**
 * Name of the variable that replaces `import.meta.url`, which CommonJS lacks.
 * yargs finds its locales relative to it.
 */
const IMPORT_META_URL = 'importMetaUrl';
const BANNER = `const ${IMPORT_META_URL} = require('node:url').pathToFileURL(process.execPath).href;`;

/** Bundles `entry` and its imports into `outfile`. */
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
