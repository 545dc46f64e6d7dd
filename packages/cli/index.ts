/** The `kelpstep` command line and its HTTP client. */
export * from './src/command_line';
export * from './src/exit_code';
export * from './src/http_client';
