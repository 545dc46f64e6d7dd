/** Logs, metrics and the audit trail. */
export * from './src/audit_trail';
export * from './src/largest_counts';
export * from './src/load_report';
export * from './src/logger';
export * from './src/metrics_registry';
export * from './src/metrics_text';
export * from './src/proxy_metrics';
export * from './src/request_summary';
