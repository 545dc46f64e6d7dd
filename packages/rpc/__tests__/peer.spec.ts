import {createFailure, defineMethod} from '@kelpstep/protocol';
import {
  createRealTimer,
  promiseFromFuture,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {z} from 'zod';

import {
  Connection,
  createHandlerTable,
  createRpcPeer,
  createTcpTransport,
  parseAddress,
} from '..';

const double = defineMethod(
  'double',
  z.strictObject({value: z.number()}),
  z.number(),
);
const refuse = defineMethod('refuse', z.strictObject({}), z.number());
const unanswered = defineMethod('unanswered', z.strictObject({}), z.number());

async function startServer() {
  const timer = createRealTimer();
  const transport = createTcpTransport({maximumFrameBytes: 1000});
  const handlers = createHandlerTable()
    .handle(double, ({value}) => settledFuture(Ok(2 * value)))
    .handle(refuse, () =>
      settledFuture(Err(createFailure('OVERLOADED', {retryAfter: 7}))),
    )
    .handle(unanswered, () => ({
      isSettled: () => false,
      onSettled: () => () => {},
    }));
  const accepted: Connection[] = [];
  const listening = await promiseFromFuture(
    transport.listen('127.0.0.1:0', connection => {
      accepted.push(connection);
      createRpcPeer({connection, timer, handlers});
    }),
  );
  const listener = listening.unwrap();
  const dialled = await promiseFromFuture(
    transport.dial(listener.address, 1000),
  );
  const peer = createRpcPeer({connection: dialled.unwrap(), timer});
  function stop(): void {
    peer.close('test over');
    accepted.forEach(connection => connection.close('test over'));
    listener.close();
  }
  return {peer, transport, address: listener.address, stop};
}

describe('a JSON-RPC peer over TCP', () => {
  test('answers requests, each with its own result', async () => {
    const {peer, stop} = await startServer();
    const values = [1, 2, 3, 4];
    const replies = await Promise.all(
      values.map(value =>
        promiseFromFuture(peer.request(double, {value}, 1000)),
      ),
    );
    stop();
    expect(replies.map(reply => reply.unwrap())).toEqual([2, 4, 6, 8]);
  });

  test('returns a failure with its retry delay', async () => {
    const {peer, stop} = await startServer();
    const reply = await promiseFromFuture(peer.request(refuse, {}, 1000));
    stop();
    expect(reply.err && reply.val.failure.name).toEqual('OVERLOADED');
    expect(reply.err && reply.val.failure.retryAfter).toEqual(7);
  });

  test('fails a request without an answer at its timeout', async () => {
    const {peer, stop} = await startServer();
    const reply = await promiseFromFuture(peer.request(unanswered, {}, 20));
    stop();
    expect(reply.err && reply.val.kind).toEqual('timeout');
    expect(peer.pendingRequests()).toEqual(0);
  });

  test('fails pending requests when the connection is closed', async () => {
    const {peer, stop} = await startServer();
    const pending = promiseFromFuture(peer.request(unanswered, {}, 60_000));
    stop();
    const reply = await pending;
    expect(reply.err && reply.val.kind).toEqual('closed');
  });

  test('closes a connection on invalid JSON or too long a line', async () => {
    const {address, stop} = await startServer();
    for (const bytes of ['{"half\n', 'x'.repeat(2000)]) {
      const socket = connect(parseAddress(address));
      socket.on('error', () => {});
      const ended = new Promise(resolve => socket.on('close', resolve));
      socket.write(bytes);
      await ended;
    }
    stop();
  });

  test('closes all connections of a transport that is closed', async () => {
    const {peer, transport, stop} = await startServer();
    transport.close();
    const reason = await promiseFromFuture(peer.closed);
    stop();
    expect(reason).toEqual('closed by the other end');
  });

  // Guards against a task that ends by an exception and answers nobody.
  test('reports an address without such a port as unreachable', async () => {
    const transport = createTcpTransport();
    for (const address of ['127.0.0.1:70000', '127.0.0.1:', '127.0.0.1:0']) {
      const dialled = await promiseFromFuture(transport.dial(address, 1000));
      expect(dialled.err && dialled.val.kind).toEqual('unreachable');
    }
  });

  test('reports a port without a listener as refused', async () => {
    const {address, transport, stop} = await startServer();
    stop();
    await new Promise(resolve => setTimeout(resolve, 20));
    const dialled = await promiseFromFuture(transport.dial(address, 1000));
    expect(dialled.err && dialled.val.kind).toEqual('refused');
  });
});
