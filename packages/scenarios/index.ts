/** Scripted failure tests: scenario language, history, invariants. */
export * from './src/history';
export * from './src/invariants';
export * from './src/naive_model';
export * from './src/scenario_language';
