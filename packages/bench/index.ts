/** Benches: the hot path, and policies under load and faults. */
export * from './src/report';
