/** Messages between proxies. */
import {z} from 'zod';

import {termSchema} from './log_position';
import {defineMethod} from './method';

/** A proxy as its peers know it. */
export const proxyIdentitySchema = z.strictObject({
  /** Id from the settings, unique among proxies. */
  proxy: z.string().min(1),
  /** Differs between two processes that bore the same id. */
  incarnation: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Address for peers, `ip:port`. */
  address: z.string().min(1),
});
export type ProxyIdentity = z.infer<typeof proxyIdentitySchema>;

/** Who leads a group, as far as the sender knows. */
export const groupLeadershipSchema = z.strictObject({
  group: z.string(),
  term: termSchema,
  /** Member id of the primary in this term. */
  primary: z.string(),
});
export type GroupLeadership = z.infer<typeof groupLeadershipSchema>;

/** `suspect`: did not answer somebody and may still refute that. */
export const peerConditionSchema = z.enum(['alive', 'suspect', 'dead']);
export type PeerCondition = z.infer<typeof peerConditionSchema>;

/**
 * What is known of a proxy. Of two updates the one of the higher revision
 * counts; at the same revision the worse condition.
 */
export const peerUpdateSchema = z.strictObject({
  proxy: proxyIdentitySchema,
  /** Raised by the proxy itself when it refutes a worse condition. */
  revision: z.number().int().nonnegative(),
  condition: peerConditionSchema,
  /** True once it stops or the platform calls it leaving; never false again. */
  leaving: z.boolean(),
});
export type PeerUpdate = z.infer<typeof peerUpdateSchema>;

/** A target that the platform's list calls leaving. */
export const leavingTargetSchema = z.strictObject({
  /** Member id. */
  id: z.string(),
  address: z.string(),
});
export type LeavingTarget = z.infer<typeof leavingTargetSchema>;

const checksum = z.number().int().nonnegative().max(0xffffffff);

/** Hash buckets into which proxies fall when two views are compared. */
export const VIEW_BUCKETS = 64;

/** Heartbeat and gossip between two proxies; the answer has the same form. */
export const peerStateSchema = z.strictObject({
  from: proxyIdentitySchema,
  /** False while it starts and once it stops. */
  ready: z.boolean(),
  /** Version of the manifest in force; 0 without one. */
  manifestVersion: z.number().int().nonnegative(),
  /** Changes of leadership since the last exchange with this peer. */
  leaderships: z.array(groupLeadershipSchema),
  /** Some of the other proxies that the sender knows to be alive. */
  proxies: z.array(proxyIdentitySchema),
  /** The sender's revision of itself; 0 if absent. */
  revision: z.number().int().nonnegative().optional(),
  /** True once the sender stops. */
  leaving: z.boolean().optional(),
  /** News of proxies, and what the sender believes of the receiver. */
  updates: z.array(peerUpdateSchema).optional(),
  /** News of leaving targets. */
  leavingTargets: z.array(leavingTargetSchema).optional(),
  /** Checksum of all proxies the sender knows, and for how long it stands. */
  view: z
    .strictObject({checksum, unchangedFor: z.number().nonnegative()})
    .optional(),
  /** Checksums by bucket: asks for what the receiver has otherwise. */
  buckets: z.array(checksum).length(VIEW_BUCKETS).optional(),
});
export type PeerState = z.infer<typeof peerStateSchema>;

/** Exchanges what two proxies know. */
export const peerExchange = defineMethod(
  'peer.exchange',
  peerStateSchema,
  peerStateSchema,
);

/**
 * A state whose sender the receiver knows already: in place of the identity
 * stands its key, and what is empty is left out.
 */
export const shortPeerStateSchema = peerStateSchema
  .omit({from: true, leaderships: true, proxies: true})
  .extend({
    /** Id and incarnation of the sender, `proxy/incarnation`. */
    sender: z.string().min(1),
    leaderships: z.array(groupLeadershipSchema).optional(),
  });
export type ShortPeerState = z.infer<typeof shortPeerStateSchema>;

/**
 * Exchanges as `peer.exchange` does. Refused with INVALID_PARAMETERS by a proxy
 * that does not know the sender, and with METHOD_NOT_FOUND by older ones.
 */
export const peerShortExchange = defineMethod(
  'peer.short',
  shortPeerStateSchema,
  shortPeerStateSchema,
);

/** Asks for the manifest that is in force, if it is newer than `above`. */
export const peerManifest = defineMethod(
  'peer.manifest',
  z.strictObject({above: z.number().int().nonnegative()}),
  z.strictObject({
    manifest: z
      .strictObject({
        version: z.number().int().positive(),
        commitId: z.string(),
        digest: z.string(),
        body: z.string(),
      })
      .optional(),
  }),
);

/**
 * Hands a statement of a transaction to the proxy that owns it. `method` is a
 * caller's method and `request` its parameters; result or error are the
 * caller's as they stand.
 */
export const peerForward = defineMethod(
  'peer.forward',
  z.strictObject({
    method: z.enum(['read', 'write', 'commit', 'rollback']),
    request: z.unknown(),
  }),
  z.unknown(),
);
