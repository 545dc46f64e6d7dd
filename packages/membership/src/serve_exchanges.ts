/** Answers exchanges that other proxies start. */
import {
  PeerState,
  createFailure,
  peerExchange,
  peerShortExchange,
} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {settledFuture} from '@kelpstep/runtime';
import {Err, Ok} from 'ts-results';

import type {GossipState} from './gossip_state';
import {memberKey} from './member_table';
import {expandState, shortenState} from './short_exchange';

/** Registers handlers for `peer.exchange` and its short form. */
export function serveExchanges(
  handlers: HandlerTable,
  gossipState: GossipState,
  receive: (state: PeerState, address: string) => void,
): void {
  function answer(state: PeerState): PeerState {
    const {from} = state;
    receive(state, from.address);
    const peer = {address: from.address, key: memberKey(from)};
    return gossipState.describe(peer, {received: state});
  }

  handlers.handle(peerExchange, state => settledFuture(Ok(answer(state))));
  handlers.handle(peerShortExchange, short => {
    const sender = gossipState.table.get(short.sender);
    if (sender === undefined) {
      const message = 'The sender is not known.';
      return settledFuture(Err(createFailure('INVALID_PARAMETERS', {message})));
    }
    const state = expandState(short, sender.update.proxy);
    return settledFuture(Ok(shortenState(answer(state))));
  });
}
