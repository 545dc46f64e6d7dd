import {
  ErrorName,
  PeerState,
  createFailure,
  peerShortExchange,
  shortPeerStateSchema,
} from '@kelpstep/protocol';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';

import {
  IdempotentRequest,
  createShortExchange,
  expandState,
  shortenState,
} from '..';

function stateOf(proxy: string): PeerState {
  return {
    from: {proxy, incarnation: 'x1', dataCentre: 'east', address: `${proxy}:1`},
    ready: true,
    manifestVersion: 7,
    leaderships: [{group: 'g', term: 3, primary: 'a'}],
    proxies: [],
    revision: 2,
    view: {checksum: 5, unchangedFor: 9},
  };
}

/**
 * Creates a peer that records requested methods and may refuse the short form.
 */
function createPeer() {
  const peer = {
    name: 'b',
    refusal: undefined as ErrorName | undefined,
    asked: [] as string[],
  };
  const sendRequest = ((address: string, method: {name: string}) => {
    peer.asked.push(method.name);
    const isShort = method.name === peerShortExchange.name;
    if (isShort && peer.refusal !== undefined) {
      return settledFuture(Err(createFailure(peer.refusal)));
    }
    const state = stateOf(peer.name);
    return settledFuture(Ok(isShort ? shortenState(state) : state));
  }) as IdempotentRequest;
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const exchange = createShortExchange({
    runtime,
    request: sendRequest,
    timeout: 100,
  });

  function exchangeOnce() {
    peer.asked = [];
    let reply: PeerState | Error | undefined;
    exchange('b:1', stateOf('a')).onSettled(result => {
      reply = result.ok ? result.val : new Error(result.val.name);
    });
    timer.advance(1);
    return {reply, asked: peer.asked};
  }
  return {peer, exchangeOnce};
}

describe('a short state', () => {
  test('expands to the full state', () => {
    const state = stateOf('a');
    const parsed = shortPeerStateSchema.parse(shortenState(state));
    expect(expandState(parsed, state.from)).toEqual(state);
  });
});

describe('an exchange', () => {
  test('is full at first and short afterwards, with the same reply', () => {
    const {exchangeOnce} = createPeer();
    const first = exchangeOnce();
    const second = exchangeOnce();
    expect(first.asked).toEqual(['peer.exchange']);
    expect(second.asked).toEqual(['peer.short']);
    expect(second.reply).toEqual(first.reply);
  });

  test('is full with a peer that refuses the short form', () => {
    for (const refusal of ['INVALID_PARAMETERS', 'METHOD_NOT_FOUND'] as const) {
      const {peer, exchangeOnce} = createPeer();
      exchangeOnce();
      peer.refusal = refusal;
      const {asked, reply} = exchangeOnce();
      expect(asked).toEqual(['peer.short', 'peer.exchange']);
      expect(reply).toEqual(stateOf('b'));
    }
  });

  test('is full when another process answers at the address', () => {
    const {peer, exchangeOnce} = createPeer();
    exchangeOnce();
    peer.name = 'c';
    const {asked, reply} = exchangeOnce();
    expect(asked).toEqual(['peer.short', 'peer.exchange']);
    expect(reply).toEqual(stateOf('c'));
  });

  test('fails without a reply, and the next one is full', () => {
    const {peer, exchangeOnce} = createPeer();
    exchangeOnce();
    peer.refusal = 'OUTCOME_UNKNOWN';
    expect(exchangeOnce().asked).toEqual(['peer.short']);
    expect(exchangeOnce().asked).toEqual(['peer.exchange']);
  });
});
