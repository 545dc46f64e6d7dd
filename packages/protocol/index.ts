/** Message schemas and the error table, shared by all packages. */
export * from './src/caller_messages';
export * from './src/errors';
export * from './src/log_position';
export * from './src/method';
export * from './src/peer_messages';
export * from './src/platform_messages';
export * from './src/statement';
export * from './src/target_messages';
export * from './src/priority_worth';
