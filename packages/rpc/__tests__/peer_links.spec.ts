import {defineMethod} from '@kelpstep/protocol';
import {
  createRandom,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {createHandlerTable, createRpcPeer} from '@kelpstep/rpc';
import {createFakeNetwork} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok} from 'ts-results';
import {z} from 'zod';

import {createPeerLinks} from '..';

const echo = defineMethod(
  'echo',
  z.strictObject({text: z.string()}),
  z.string(),
);
const ADDRESS = '10.0.0.2:1';

function startTwoProxies() {
  const timer = createVirtualTimer();
  const network = createFakeNetwork({timer, random: createRandom(1)});
  const handlers = createHandlerTable().handle(echo, ({text}) =>
    settledFuture(Ok(text)),
  );
  let accepted = 0;
  network.transportFor('10.0.0.2').listen(ADDRESS, connection => {
    accepted++;
    createRpcPeer({connection, timer, handlers});
  });
  const links = createPeerLinks({
    transport: network.transportFor('10.0.0.1'),
    timer,
    idleTime: 1000,
  });

  function sendRequest(address: string, text: string): string[] {
    const outcomes: string[] = [];
    links.request(address, echo, {text}, 100).onSettled(reply => {
      outcomes.push(
        reply.ok ? reply.val : `${reply.val.kind}, sent: ${reply.val.sent}`,
      );
    });
    timer.advance(150);
    return outcomes;
  }

  return {timer, network, links, sendRequest, accepted: () => accepted};
}

describe('links to peers', () => {
  test('use one connection for several requests', () => {
    const {sendRequest, accepted} = startTwoProxies();
    expect(sendRequest(ADDRESS, 'a')).toEqual(['a']);
    expect(sendRequest(ADDRESS, 'b')).toEqual(['b']);
    expect(accepted()).toEqual(1);
  });

  test('replace a connection that became unresponsive', () => {
    const {sendRequest, network, accepted} = startTwoProxies();
    sendRequest(ADDRESS, 'a');
    network.blackholeConnections('10.0.0.1', '10.0.0.2');
    expect(sendRequest(ADDRESS, 'b')).toEqual(['timeout, sent: true']);
    expect(sendRequest(ADDRESS, 'c')).toEqual(['c']);
    expect(accepted()).toEqual(2);
  });

  test('report that nothing was sent if no connection can be opened', () => {
    const {sendRequest, links} = startTwoProxies();
    expect(sendRequest('10.0.0.2:2', 'a')).toEqual(['closed, sent: false']);
    expect(links.size()).toEqual(0);
  });

  test('close idle connections', () => {
    const {sendRequest, links, timer} = startTwoProxies();
    sendRequest(ADDRESS, 'a');
    expect(links.size()).toEqual(1);
    timer.advance(2500);
    expect(links.size()).toEqual(0);
  });
});
