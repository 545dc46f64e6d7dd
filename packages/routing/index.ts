/** Which target serves a read or write; the request service. */
export * from './src/limits';
export * from './src/policies';
export * from './src/read_policy';
export * from './src/request_service';
export * from './src/service_types';
