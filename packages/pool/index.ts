/** Connections to targets, admission control and retries. */
export * from './src/admission';
export * from './src/admission_queue';
export * from './src/concurrency_limit';
export * from './src/connection_share';
export * from './src/connection_times';
export * from './src/connections';
export * from './src/fair_shares';
export * from './src/lease';
export * from './src/pool_types';
export * from './src/queue_policy';
export * from './src/retry';
export * from './src/retry_after';
export * from './src/service_times';
export * from './src/target_pool';
