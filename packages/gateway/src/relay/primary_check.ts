/**
 * Checks through peers whether a group's primary is reachable, so that a proxy
 * that is partitioned from the primary doesn't consider it lost.
 */
import type {ProxyDescriptor} from '@kelpstep/table-feed';
import {type Runtime, type Task, waitFor} from '@kelpstep/runtime';
import {
  type PeerView,
  type PrimaryView,
  combinePeerViews,
} from '@kelpstep/succession';

import {inRandomOrder} from './peer_order';
import type {RelayClient} from './relay_client';

export interface PrimaryCheckOptions {
  readonly runtime: Runtime;
  readonly client: RelayClient;
  /** The group's connection owners, without this proxy. */
  peers(group: string): readonly ProxyDescriptor[];
}

/** Settles with how the asked proxies reach the group's primary. */
export type PrimaryCheck = (group: string) => Task<PrimaryView>;

/**
 * Maximum number of peers that receive the request at the same time. If half of all proxies are
 * partitioned from the primary, the probability that all of these are is 1 in
 * 64.
 */
const MAXIMUM_PEERS = 6;

/** Creates a check that sends its requests over the client's connections. */
export function createPrimaryCheck(options: PrimaryCheckOptions): PrimaryCheck {
  const {random} = options.runtime;
  const {client} = options;

  return function* viewOfPeers(group) {
    const usablePeers = options
      .peers(group)
      .filter(({relayAddress}) => client.isUsable(relayAddress));
    const order = inRandomOrder(random, usablePeers);
    const views: PeerView[] = [];
    for (;;) {
      const answers = order
        .slice(views.length, views.length + MAXIMUM_PEERS)
        .map(({relayAddress}) => client.viewOf(relayAddress, group));
      for (const answer of answers) {
        views.push(yield* waitFor(answer));
      }
      const view = combinePeerViews(views);
      // A single peer that serves the group keeps its primary in place, so all
      // of them are asked before the group counts as split.
      if (view !== 'split' || views.length === order.length) {
        return view;
      }
    }
  };
}
