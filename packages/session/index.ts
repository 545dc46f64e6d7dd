/** Sessions and session tokens. */
export * from './src/session';
export * from './src/token_codec';
