/** Group state, confirmation by majority, failure detection and promotion. */
export * from './src/group_view';
