/**
 * Public interface of the package: groups of targets, their connections, the
 * admission of statements and log positions.
 */
export * from './src/change_signal';
export * from './src/connection_shares';
export type {CopyState} from './src/copy_tracker';
export type {DepartedTarget} from './src/departed_targets';
export * from './src/group_positions';
export * from './src/known_log_end';
export * from './src/outlier_detection';
export * from './src/registration';
export * from './src/shared_connections';
export * from './src/statement_request';
export * from './src/target_group';
export * from './src/target_group_events';
export * from './src/target_link';
export * from './src/target_commands';
