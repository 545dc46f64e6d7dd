/** Public interface of the package: sessions and their tokens. */
export * from './src/session';
export * from './src/token_codec';
