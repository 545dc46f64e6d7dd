/** Which proxies live, and which of them are responsible for what. */
export * from './src/membership';
