/** Which proxies live, and which of them are responsible for what. */
export * from './src/create_membership';
export type {PeerExchange} from './src/exchanges';
export * from './src/idempotent_request';
export * from './src/instance_watch';
export * from './src/knowledge';
export * from './src/membership';
export * from './src/pace';
export {
  type CandidateSet,
  type PlacedProxy,
  createCandidateSet,
  pickResponsible,
} from './src/rendezvous';
export * from './src/short_exchange';
