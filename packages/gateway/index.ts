/**
 * Public interface of the package: serves the statement sessions of callers.
 */
export * from './src/caller_connection';
export * from './src/configuration';
export * from './src/create_gateway';
export * from './src/dispatch';
export * from './src/dispatch_types';
export * from './src/gateway_events';
export * from './src/create_statement_proxy';
export {SUPERSEDED_PRIMARY} from './src/superseded_primary';
