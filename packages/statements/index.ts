/**
 * Public interface of the package: statements, answers, session settings and
 * connections to targets.
 */
export * from './src/answer';
export * from './src/session_settings';
export * from './src/session_statement';
export * from './src/target_connection';
