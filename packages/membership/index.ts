/** Live proxies and the responsibilities among them. */
export * from './src/create_membership';
export {hashText, mixHashes} from './src/hash';
export type {PeerExchange} from './src/exchanges';
export * from './src/idempotent_request';
export * from './src/instance_polling';
export * from './src/gossip_state';
export * from './src/membership';
export * from './src/gossip_timing';
export {
  type CandidateSet,
  type LocatedProxy,
  createCandidateSet,
  pickResponsible,
} from './src/rendezvous';
export * from './src/short_exchange';
