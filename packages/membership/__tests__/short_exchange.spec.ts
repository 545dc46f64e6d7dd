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

import {IdempotentRequest, createShortExchange, lengthen, shorten} from '..';

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

/** A partner at one address that counts methods and may refuse short ones. */
function createPartner() {
  const partner = {
    name: 'b',
    refusal: undefined as ErrorName | undefined,
    asked: [] as string[],
  };
  const ask = ((address: string, method: {name: string}) => {
    partner.asked.push(method.name);
    const isShort = method.name === peerShortExchange.name;
    if (isShort && partner.refusal !== undefined) {
      return settledFuture(Err(createFailure(partner.refusal)));
    }
    const state = stateOf(partner.name);
    return settledFuture(Ok(isShort ? shorten(state) : state));
  }) as IdempotentRequest;
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const exchange = createShortExchange({runtime, ask, timeout: 100});

  function exchangeOnce() {
    partner.asked = [];
    let reply: PeerState | Error | undefined;
    exchange('b:1', stateOf('a')).onSettled(result => {
      reply = result.ok ? result.val : new Error(result.val.name);
    });
    timer.advance(1);
    return {reply, asked: partner.asked};
  }
  return {partner, exchangeOnce};
}

describe('a short state', () => {
  test('stands for the whole state', () => {
    const state = stateOf('a');
    const parsed = shortPeerStateSchema.parse(shorten(state));
    expect(lengthen(parsed, state.from)).toEqual(state);
  });
});

describe('an exchange', () => {
  test('is full at first and short from then on, with the same answer', () => {
    const {exchangeOnce} = createPartner();
    const first = exchangeOnce();
    const second = exchangeOnce();
    expect(first.asked).toEqual(['peer.exchange']);
    expect(second.asked).toEqual(['peer.short']);
    expect(second.reply).toEqual(first.reply);
  });

  test('is full with a partner that refuses the short form', () => {
    for (const refusal of ['INVALID_PARAMETERS', 'METHOD_NOT_FOUND'] as const) {
      const {partner, exchangeOnce} = createPartner();
      exchangeOnce();
      partner.refusal = refusal;
      const {asked, reply} = exchangeOnce();
      expect(asked).toEqual(['peer.short', 'peer.exchange']);
      expect(reply).toEqual(stateOf('b'));
    }
  });

  test('is full when another process answers at the address', () => {
    const {partner, exchangeOnce} = createPartner();
    exchangeOnce();
    partner.name = 'c';
    const {asked, reply} = exchangeOnce();
    expect(asked).toEqual(['peer.short', 'peer.exchange']);
    expect(reply).toEqual(stateOf('c'));
  });

  test('that gets no answer fails, and the next is full', () => {
    const {partner, exchangeOnce} = createPartner();
    exchangeOnce();
    partner.refusal = 'OUTCOME_UNKNOWN';
    expect(exchangeOnce().asked).toEqual(['peer.short']);
    expect(exchangeOnce().asked).toEqual(['peer.exchange']);
  });
});
