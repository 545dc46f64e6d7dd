/** Session tokens. */
export * from './src/session';
export * from './src/token_codec';
