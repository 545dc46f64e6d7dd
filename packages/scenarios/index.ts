/** Scripted failure tests: scenario language, history, invariants. */
export * from './src/history';
export * from './src/invariants';
export * from './src/naive_model';
export * from './src/scenario_language';
export * from './src/caller_link';
export * from './src/cluster';
export * from './src/deployments';
export * from './src/measurements';
export * from './src/run_scenario';
export * from './src/scenario_actions';
