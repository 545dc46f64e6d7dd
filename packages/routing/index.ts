/** Target selection for reads, and the service for callers' requests. */
export * from './src/limits';
export * from './src/policies';
export * from './src/read_policy';
export * from './src/request_service';
export * from './src/service_types';
