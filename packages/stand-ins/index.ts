/** Stand-ins for targets, platform and network in tests, demo and benchmark. */
export * from './src/network/fake_network';
export * from './src/network/host_timer';
export type * from './src/network/message_rules';
export * from './src/database/database';
export type * from './src/database/database_control';
export * from './src/database/database_settings';
export * from './src/embedded';
export * from './src/free_addresses';
export * from './src/platform/in_process_client';
export * from './src/platform/platform';
export * from './src/platform/platform_faults';
export * from './src/platform/platform_server';
export * from './src/statement_group/link_network';
export * from './src/statement_group/run_record';
export * from './src/statement_group/stand_in_group';
export * from './src/statement_group/stand_in_store';
export * from './src/statement_group/stand_in_target';
export * from './src/statement_group/stand_in_target_types';
