/**
 * Asks other proxies whether they reach a group's primary, so that one that is
 * cut off from it doesn't take it for lost.
 */
import type {PresentProxy} from '@kelpstep/table-feed';
import {type Runtime, type Task, waitFor} from '@kelpstep/runtime';

import {inRandomOrder} from './peer_order';
import type {RelayClient} from './relay_client';

/** What the check is made of. */
export interface LeaderCheckOptions {
  readonly runtime: Runtime;
  readonly client: RelayClient;
  /** Other proxies that hold connections to the group's targets. */
  peers(group: string): readonly PresentProxy[];
}

/** True if another proxy reaches the group's primary. */
export type LeaderCheck = (group: string) => Task<boolean>;

/**
 * Proxies that are asked at once. Where half of all are cut off from a primary,
 * one time in 64 all of these are.
 */
const MAXIMUM_ASKED = 6;

/** Creates the check. */
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
