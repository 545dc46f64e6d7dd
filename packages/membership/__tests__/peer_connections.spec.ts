import {createFailure, defineMethod} from '@kelpstep/protocol';
import {
  Connection,
  createHandlerTable,
  createRpcPeer,
  createTcpTransport,
} from '@kelpstep/rpc';
import {
  createDeferred,
  createRandom,
  createRealTimer,
  createRuntime,
  promiseFromFuture,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {z} from 'zod';

import {createPeerConnections} from '..';

const echo = defineMethod(
  'echo',
  z.strictObject({value: z.number()}),
  z.number(),
);
const refuse = defineMethod('refuse', z.strictObject({}), z.number());

async function startPeer() {
  const timer = createRealTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const transport = createTcpTransport();
  const accepted: Connection[] = [];
  const state = {isSilent: (unusedConnection: number) => false};
  const listening = await promiseFromFuture(
    transport.listen('127.0.0.1:0', connection => {
      const number = accepted.push(connection);
      const handlers = createHandlerTable()
        .handle(echo, ({value}) =>
          state.isSilent(number)
            ? createDeferred<never>().future
            : settledFuture(Ok(value)),
        )
        .handle(refuse, () => settledFuture(Err(createFailure('NOT_READY'))));
      createRpcPeer({connection, timer, handlers});
    }),
  );
  const listener = listening.unwrap();
  const connections = createPeerConnections({runtime, transport});
  function ask(value: number, timeout = 400) {
    return promiseFromFuture(
      connections.request(listener.address, echo, {value}, timeout),
    );
  }
  function stop(): void {
    connections.close('test over');
    accepted.forEach(connection => connection.close('test over'));
    listener.close();
  }
  return {
    ...{connections, ask, accepted, state, stop},
    address: listener.address,
  };
}

describe('connections to peers', () => {
  test('are shared by requests, also by those that come together', async () => {
    const {ask, accepted, connections, stop} = await startPeer();
    const replies = await Promise.all([ask(1), ask(2), ask(3)]);
    replies.push(await ask(4));
    stop();
    expect(replies.map(reply => reply.unwrap())).toEqual([1, 2, 3, 4]);
    expect(accepted.length).toEqual(1);
    expect(connections.size()).toEqual(0);
  });

  test('are replaced when they are silent, within the timeout', async () => {
    const {ask, accepted, state, stop} = await startPeer();
    await ask(1);
    state.isSilent = connection => connection === 1;
    const reply = await ask(2);
    stop();
    expect(reply.unwrap()).toEqual(2);
    expect(accepted.length).toEqual(2);
  });

  test('report a peer that is silent on a fresh connection too', async () => {
    const {ask, state, connections, stop} = await startPeer();
    await ask(1);
    state.isSilent = () => true;
    const reply = await ask(2, 100);
    const left = connections.size();
    stop();
    expect([reply.err, left]).toEqual([true, 0]);
  });

  test('pass refusals on and report a port where nobody listens', async () => {
    const {connections, address, accepted, stop} = await startPeer();
    const refused = await promiseFromFuture(
      connections.request(address, refuse, {}, 400),
    );
    const nobody = await promiseFromFuture(
      connections.request('127.0.0.1:1', refuse, {}, 400),
    );
    stop();
    expect(refused.err && refused.val.name).toEqual('NOT_READY');
    expect(nobody.err && nobody.val.outcome).toEqual('not_run');
    expect(accepted.length).toEqual(1);
  });
});
