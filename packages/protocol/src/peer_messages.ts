/** Messages between proxies. */
import {z} from 'zod';

import {termSchema} from './log_position';
import {defineMethod} from './method';

/** Identity and address of a proxy. */
export const proxyIdentitySchema = z.strictObject({
  /** Configured id, unique among proxies. */
  proxy: z.string().min(1),
  /** Distinguishes processes that have used the same id. */
  incarnation: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Address on which peers connect, `ip:port`. */
  address: z.string().min(1),
});
export type ProxyIdentity = z.infer<typeof proxyIdentitySchema>;

/** The primary of a group, as known to the sender. */
export const groupLeadershipSchema = z.strictObject({
  group: z.string(),
  term: termSchema,
  /** Member id. */
  primary: z.string(),
});
export type GroupLeadership = z.infer<typeof groupLeadershipSchema>;

/** `suspect`: failed to answer a peer and may still refute the suspicion. */
export const peerConditionSchema = z.enum(['alive', 'suspect', 'dead']);
export type PeerCondition = z.infer<typeof peerConditionSchema>;

/**
 * State of a proxy as distributed by gossip. Of two updates, the one with the
 * higher revision takes precedence; with equal revisions, the worse condition.
 */
export const peerUpdateSchema = z.strictObject({
  proxy: proxyIdentitySchema,
  /** Incremented by the proxy itself to refute a worse condition. */
  revision: z.number().int().nonnegative(),
  condition: peerConditionSchema,
  /** True once it stops or the platform lists it as leaving; never reset. */
  leaving: z.boolean(),
});
export type PeerUpdate = z.infer<typeof peerUpdateSchema>;

/** A target that the platform lists as leaving. */
export const leavingTargetSchema = z.strictObject({
  /** Member id. */
  id: z.string(),
  address: z.string(),
});
export type LeavingTarget = z.infer<typeof leavingTargetSchema>;

const checksumSchema = z.number().int().nonnegative().max(0xffffffff);

/** Number of hash buckets for comparing the views of two proxies. */
export const VIEW_BUCKET_COUNT = 64;

/** Heartbeat and gossip between two proxies; request and answer are alike. */
export const peerStateSchema = z.strictObject({
  from: proxyIdentitySchema,
  /** False while the sender starts and once it stops. */
  ready: z.boolean(),
  /** Version of the sender's current manifest; 0 if it has none. */
  manifestVersion: z.number().int().nonnegative(),
  /**
   * Changes of primary that the sender still distributes. Its queue serves all
   * peers and sends each change a bounded number of times.
   */
  leaderships: z.array(groupLeadershipSchema),
  /** Sent as an empty list and not read; `updates` describes the proxies. */
  proxies: z.array(proxyIdentitySchema),
  /** The revision of the sender's own state; 0 if absent. */
  revision: z.number().int().nonnegative().optional(),
  /** True once the sender is stopping. */
  leaving: z.boolean().optional(),
  /**
   * Updates on proxies, including a claim that the receiver is not alive or is
   * leaving.
   */
  updates: z.array(peerUpdateSchema).optional(),
  /** Updates on leaving targets. */
  leavingTargets: z.array(leavingTargetSchema).optional(),
  /**
   * Checksum of all proxies that the sender does not consider dead, and the
   * time in milliseconds since its view last changed.
   */
  view: z
    .strictObject({
      checksum: checksumSchema,
      unchangedFor: z.number().nonnegative(),
    })
    .optional(),
  /** Checksums by bucket; requests the receiver's updates where they differ. */
  buckets: z.array(checksumSchema).length(VIEW_BUCKET_COUNT).optional(),
});
export type PeerState = z.infer<typeof peerStateSchema>;

/** Exchanges the known state of two proxies. */
export const peerExchange = defineMethod(
  'peer.exchange',
  peerStateSchema,
  peerStateSchema,
);

/**
 * Compact state for a receiver that already knows the sender's identity: the
 * identity is replaced by its key, and empty fields are omitted.
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
 * Compact form of `peer.exchange`. It is refused with `INVALID_PARAMETERS` by a
 * proxy that does not know the sender, and with `METHOD_NOT_FOUND` by proxies
 * of older versions.
 */
export const peerShortExchange = defineMethod(
  'peer.short',
  shortPeerStateSchema,
  shortPeerStateSchema,
);

/** Requests the current manifest if its version is greater than `above`. */
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
 * Forwards a request of a transaction to the proxy that owns it. `method` is a
 * caller's method and `request` its parameters; the result or error is returned
 * to the caller unchanged.
 */
export const peerForward = defineMethod(
  'peer.forward',
  z.strictObject({
    method: z.enum(['read', 'write', 'commit', 'rollback']),
    request: z.unknown(),
  }),
  z.unknown(),
);
