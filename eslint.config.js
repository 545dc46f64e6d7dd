'use strict';

const typescriptEslint = require('typescript-eslint');

// Google TypeScript Style Guide, as far as a linter can see it.
module.exports = typescriptEslint.config(
  {ignores: ['dist/**', 'target/**', 'node_modules/**', 'eslint.config.js']},
  ...typescriptEslint.configs.recommended,
  {
    files: ['**/*.ts'],
    rules: {
      'prefer-const': 'error',
      'no-var': 'error',
      eqeqeq: ['error', 'always'],
      curly: ['error', 'all'],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'require-yield': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused', varsIgnorePattern: '^unused'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'default',
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
        },
        {selector: 'import', format: null},
        {selector: 'variable', format: ['camelCase', 'UPPER_CASE']},
        {
          selector: 'typeLike',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {selector: 'property', format: null},
        {
          selector: 'objectLiteralMethod',
          modifiers: ['requiresQuotes'],
          format: null,
        },
      ],
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
    },
  },
  {
    // Time and chance come from the runtime only, so that tasks replay.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      'packages/runtime/**',
      'packages/stand-ins/**',
      'packages/cli/**',
      'packages/bench/**',
    ],
    rules: {
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
        {object: 'performance', property: 'now'},
        {object: 'process', property: 'hrtime'},
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
      ],
    },
  },
);
