import {
  type Task,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import type {PrimaryView} from '@kelpstep/succession';
import type {ProxyDescriptor} from '@kelpstep/table-feed';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPrimaryCheck} from '../src/relay/primary_check';
import type {RelayClient} from '../src/relay/relay_client';

/** Asks 12 peers; one reaches a replica, the others only the primary. */
function askPeers(seed: number, servingPeer: string): PrimaryView | undefined {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(seed)});
  const client: Partial<RelayClient> = {
    isUsable: () => true,
    viewOf: address =>
      settledFuture({
        reachesPrimary: true,
        reachesReplica: address === servingPeer,
      }),
  };
  const check = createPrimaryCheck({
    runtime,
    client: client as RelayClient,
    peers: () =>
      Array.from({length: 12}, (unused, index) => ({
        relayAddress: `peer-${index}`,
      })) as ProxyDescriptor[],
  });
  let view: PrimaryView | undefined;
  runtime.spawn(
    'check',
    (function* (): Task<void> {
      view = yield* check('g');
    })(),
  );
  timer.advance(1);
  return view;
}

describe('the check of a primary through peers', () => {
  // Guards against a succession because only some peers were asked.
  test('asks all peers before a group counts as split', () => {
    for (const seed of [1, 2, 3, 4]) {
      expect(askPeers(seed, 'peer-11')).toEqual('serving');
      expect(askPeers(seed, 'none')).toEqual('split');
    }
  });
});
