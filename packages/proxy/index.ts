/** The proxy daemon, its servers and the wiring of its parts. */
export * from './src/caller_server';
export * from './src/create_proxy';
export * from './src/daemon';
export * from './src/http_server';
export * from './src/json_rpc_dispatcher';
export * from './src/operator_server';
export * from './src/operator_methods';
export * from './src/proxy_context';
export * from './src/responsibilities';
