/** Benchmarks of the request path and of policies under load and faults. */
export * from './src/policies/compare_policies';
export * from './src/policies/fault_metrics';
export * from './src/policies/named_faults';
export * from './src/policies/named_policies';
export type * from './src/policies/open_loop_load';
export * from './src/policies/request_mix';
export * from './src/report';
