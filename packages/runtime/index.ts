/** Generator tasks, mailboxes, timer services and seeded random numbers. */
export * from './src/deferred';
export * from './src/effect';
export * from './src/mailbox';
export * from './src/random';
export * from './src/real_timer';
export * from './src/retry_backoff';
export * from './src/runtime';
export * from './src/suspension_detector';
export * from './src/timer';
export * from './src/virtual_timer';
