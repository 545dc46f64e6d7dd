/** Scripted failure tests: scenario language, history, invariants. */
export * from './src/history';
export * from './src/invariants';
export * from './src/naive_model';
export * from './src/scenario_language';
export * from './src/cluster';
export * from './src/deployments';
export * from './src/measurements';
export * from './src/run_scenario';
export * from './src/processes/clock';
export * from './src/processes/direct_target';
export * from './src/processes/eventually';
export * from './src/processes/process_cluster';
export * from './src/processes/process_table';
export * from './src/processes/session_caller';
export * from './src/processes/write_load';
