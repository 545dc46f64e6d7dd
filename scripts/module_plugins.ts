/** Plugins of the bundler for modules that are loaded late or left out. */
import {createRequire} from 'node:module';
import type {Plugin} from 'esbuild';

const NAMESPACE = 'lazy-module';
/** They keep handles of their process, which a start-up snapshot can't hold. */
const LAZY = /^(node:)?(crypto|http|tty|zlib)$/;
const load = createRequire(__filename);

/** The source of a module whose members are looked up when they are read. */
function renderModule(name: string): string {
  const getters = Object.keys(load(name) as object).map(
    member => `get ${member}() { return require('${name}').${member}; },`,
  );
  return `module.exports = {\n${getters.join('\n')}\n};\n`;
}

/**
 * Texts of a library's messages in all languages: a quarter of the program, for one
 * that only speaks English.
 */
const LEFT_OUT = /\/locales\/index\.js$/;

/** Puts an empty module in place of each that isn't needed. */
export const leftOutModules: Plugin = {
  name: 'left-out-module',
  setup({onLoad}) {
    onLoad({filter: LEFT_OUT}, () => ({contents: 'export {};', loader: 'js'}));
  },
};

/** Loads each of these modules only when one of its members is first used. */
export const lazyModules: Plugin = {
  name: NAMESPACE,
  setup({onResolve, onLoad}) {
    onResolve({filter: LAZY}, ({path, namespace}) =>
      namespace === NAMESPACE
        ? {path, external: true}
        : {path, namespace: NAMESPACE},
    );
    onLoad({filter: LAZY, namespace: NAMESPACE}, ({path}) => ({
      contents: renderModule(path),
      loader: 'js',
    }));
  },
};
