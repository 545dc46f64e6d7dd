/** Statements, answers, session settings and how connections are shared. */
export * from './src/answer';
export * from './src/session_settings';
export * from './src/session_statement';
export * from './src/target_connection';
