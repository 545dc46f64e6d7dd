/** JSON-RPC 2.0 between processes over TCP or another transport. */
export * from './src/accept_connections';
export * from './src/close_when_quiet';
export * from './src/failure_codec';
export * from './src/handlers';
export * from './src/peer';
export * from './src/peer_links';
export * from './src/tcp_transport';
export * from './src/transport';
