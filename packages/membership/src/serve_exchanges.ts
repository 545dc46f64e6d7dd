/** Answers the exchanges that other proxies begin. */
import {
  PeerState,
  createFailure,
  peerExchange,
  peerShortExchange,
} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {settledFuture} from '@kelpstep/runtime';
import {Err, Ok} from 'ts-results';

import type {Knowledge} from './knowledge';
import {memberKey} from './member_table';
import {lengthen, shorten} from './short_exchange';

/** Serves `peer.exchange` and its short form. */
export function serveExchanges(
  handlers: HandlerTable,
  knowledge: Knowledge,
  hear: (state: PeerState, address: string) => void,
): void {
  function answer(state: PeerState): PeerState {
    const {from} = state;
    hear(state, from.address);
    const partner = {address: from.address, key: memberKey(from)};
    return knowledge.describe(partner, {heard: state});
  }

  handlers.handle(peerExchange, state => settledFuture(Ok(answer(state))));
  handlers.handle(peerShortExchange, short => {
    const sender = knowledge.table.get(short.sender);
    if (sender === undefined) {
      const message = 'The sender is not known.';
      return settledFuture(Err(createFailure('INVALID_PARAMETERS', {message})));
    }
    const state = lengthen(short, sender.update.proxy);
    return settledFuture(Ok(shorten(answer(state))));
  });
}
