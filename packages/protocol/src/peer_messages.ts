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
});
export type PeerState = z.infer<typeof peerStateSchema>;

/** Exchanges what two proxies know. */
export const peerExchange = defineMethod(
  'peer.exchange',
  peerStateSchema,
  peerStateSchema,
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
