/**
 * Checks through peers whether a group's primary is reachable, so that a proxy
 * that is partitioned from the primary doesn't consider it lost.
 */
import type {PresentProxy} from '@kelpstep/table-feed';
import {type Runtime, type Task, waitFor} from '@kelpstep/runtime';

import {inRandomOrder} from './peer_order';
import type {RelayClient} from './relay_client';

/** Dependencies of the check. */
export interface LeaderCheckOptions {
  readonly runtime: Runtime;
  readonly client: RelayClient;
  /** The group's connection owners, without this proxy. */
  peers(group: string): readonly PresentProxy[];
}

/** True if another proxy reaches the group's primary. */
export type LeaderCheck = (group: string) => Task<boolean>;

/**
 * Number of peers that are requested at once. If half of all proxies are
 * partitioned from the primary, all of these are in 1 case out of 64.
 */
const MAXIMUM_ASKED = 6;

/** Creates a check that uses the client's connections. */
export function createLeaderCheck(options: LeaderCheckOptions): LeaderCheck {
  const {random} = options.runtime;
  const {client} = options;

  return function* isReachedElsewhere(group) {
    const usable = options
      .peers(group)
      .filter(({relayAddress}) => client.isUsable(relayAddress));
    const asked = inRandomOrder(random, usable)
      .slice(0, MAXIMUM_ASKED)
      .map(({relayAddress}) => client.reachesLeader(relayAddress, group));
    let isReached = false;
    for (const answer of asked) {
      isReached = (yield* waitFor(answer)) || isReached;
    }
    return isReached;
  };
}
