import {
  targetExecute,
  targetFence,
  targetFollow,
  targetPromote,
  targetStatus,
  type Method,
} from '@kelpstep/protocol';
import {createRealTimer, promiseFromFuture} from '@kelpstep/runtime';
import {RpcPeer, createRpcPeer, createTcpTransport} from '@kelpstep/rpc';
import {expect} from 'earl';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {describe, test} from 'node:test';
import {createInterface} from 'node:readline';

import {startEmbeddedStandIns} from '..';
import {statement} from './group';

const TIMEOUT_MS = 10_000;

async function connect(address: string): Promise<RpcPeer> {
  const dialled = await promiseFromFuture(
    createTcpTransport().dial(address, TIMEOUT_MS),
  );
  const connection = dialled.unwrap();
  return createRpcPeer({connection, timer: createRealTimer()});
}

async function call<P, R>(
  peer: RpcPeer,
  method: Method<P, R>,
  parameters: P,
): Promise<R> {
  const reply = await promiseFromFuture(
    peer.request(method, parameters, TIMEOUT_MS),
  );
  return reply.unwrap();
}

/** Starts a stand-in as a process and waits until it listens. */
async function startProcess(...commandArguments: string[]) {
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', 'packages/stand-ins/src/main.ts', ...commandArguments],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  const [line] = (await once(createInterface(child.stdout), 'line')) as [
    string,
  ];
  const {event, address} = JSON.parse(line) as Record<string, string>;
  async function stop(): Promise<unknown> {
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    const [code] = (await exited) as [unknown];
    return code;
  }
  return {event, address: address ?? '', stop};
}

describe('stand-ins as processes', () => {
  test('serve until SIGTERM with settings from the command line', async () => {
    const database = await startProcess(
      'database',
      ...['--address', '127.0.0.1:0', '--id', 'fukuoka-1', '--slots', '5'],
    );
    const platform = await startProcess('platform', '--address', '127.0.0.1:0');
    const peer = await connect(database.address);
    const status = await call(peer, targetStatus, {});
    expect(status.target).toEqual('fukuoka-1');
    expect(status.slots).toEqual(5);
    const response = await fetch(`http://${platform.address}/instances`);
    expect(await response.json()).toEqual({instances: []});
    expect(await database.stop()).toEqual(0);
    expect(await platform.stop()).toEqual(0);
  });
});

describe('embedded stand-ins', () => {
  test('replicate over TCP', async () => {
    const standIns = await startEmbeddedStandIns({
      members: [{id: 'lima-1'}, {id: 'lima-2', settings: {lag: 20}}],
      settings: {slots: 5},
    });
    const [first, second] = standIns.databases;
    const [primary, replica] = await Promise.all(
      standIns.databases.map(({address}) => connect(address)),
    );
    if (!first || !second || !primary || !replica) {
      throw new Error('Expected two databases.');
    }
    await call(primary, targetFence, {term: 1});
    await call(replica, targetFence, {term: 1});
    await call(primary, targetPromote, {term: 1});
    await call(replica, targetFollow, {term: 1, primary: first.address});
    await call(primary, targetExecute, {
      statement: statement('append ? ?', 'log', 'a'),
      mode: 'write',
      term: 1,
    });
    while (second.control.status().end.position < 2) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(second.control.inspect(statement('list ?', 'log'))).toEqual([['a']]);
    primary.close('test over');
    replica.close('test over');
    await standIns.stop();
  });
});
