/** Bundler plugins for modules that are loaded on first use or excluded. */
import {createRequire} from 'node:module';
import type {Plugin} from 'esbuild';

const LAZY_NAMESPACE = 'lazy-module';
/**
 * Modules that hold handles of their process, which no snapshot can contain.
 */
const LAZY_MODULES = /^(node:)?(crypto|http|tty|zlib)$/;
const requireModule = createRequire(__filename);

/** Renders the source of a module that loads `name` when a member is read. */
function renderModule(name: string): string {
  const getters = Object.keys(requireModule(name) as object).map(
    member => `get ${member}() { return require('${name}').${member}; },`,
  );
  return `module.exports = {\n${getters.join('\n')}\n};\n`;
}

/**
 * Message texts of a library in all languages. They would make up a quarter of
 * the bundle, whose messages are in English only.
 */
const EXCLUDED_MODULES = /\/locales\/index\.js$/;

/** Replaces each excluded module by an empty one. */
export const excludedModulesPlugin: Plugin = {
  name: 'left-out-module',
  setup({onLoad}) {
    onLoad({filter: EXCLUDED_MODULES}, () => ({
      contents: 'export {};',
      loader: 'js',
    }));
  },
};

/** Loads each lazy module when one of its members is first read. */
export const lazyModulesPlugin: Plugin = {
  name: LAZY_NAMESPACE,
  setup({onResolve, onLoad}) {
    onResolve({filter: LAZY_MODULES}, ({path, namespace}) =>
      namespace === LAZY_NAMESPACE
        ? {path, external: true}
        : {path, namespace: LAZY_NAMESPACE},
    );
    onLoad({filter: LAZY_MODULES, namespace: LAZY_NAMESPACE}, ({path}) => ({
      contents: renderModule(path),
      loader: 'js',
    }));
  },
};
