/** Scripted failure tests: scenario language, history, invariants. */
export * from './src/history';
export * from './src/invariants';
export * from './src/naive_model';
export * from './src/scenario_language';
export * from './src/cluster';
export * from './src/deployments';
export * from './src/measurements';
export * from './src/run_scenario';
export * from './src/fault_scripts';
export * from './src/seeded_runs';
export * from './src/differential';
