/** Statements, answers, session settings and target connections. */
export * from './src/answer';
export * from './src/session_settings';
export * from './src/session_statement';
export * from './src/target_connection';
