/** Client of the platform's table service, object store and instance list. */
export * from './src/circuit_breaker';
export * from './src/http_exchange';
export * from './src/http_platform_client';
export * from './src/json_parser';
export * from './src/platform_client';
export * from './src/resilient_platform_client';
export * from './src/row_writer';
export * from './src/table_store';
