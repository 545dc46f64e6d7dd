import {defineMethod} from '@kelpstep/protocol';
import {
  createRandom,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {
  RpcPeer,
  createHandlerTable,
  createRpcPeer,
  type Connection,
  type TransportError,
} from '@kelpstep/rpc';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok, Result} from 'ts-results';
import {z} from 'zod';

import {createFakeNetwork} from '..';

const CLIENT = '10.0.0.1';
const SERVER = '10.0.0.2';
const ADDRESS = `${SERVER}:7000`;

const echo = defineMethod(
  'echo',
  z.strictObject({value: z.number()}),
  z.number(),
);

/** Creates a network with an echo server that records received values. */
function createNetwork(seed = 1, jitter = 0) {
  const timer = createVirtualTimer();
  const trace: string[] = [];
  const network = createFakeNetwork({
    timer,
    random: createRandom(seed),
    latency: () => 2,
    jitter,
    trace: line => trace.push(line),
  });
  const arrived: number[] = [];
  const serverTimer = network.timerFor(SERVER);
  const handlers = createHandlerTable().handle(echo, ({value}) => {
    arrived.push(value);
    return settledFuture(Ok(value));
  });
  network.transportFor(SERVER).listen(ADDRESS, connection => {
    createRpcPeer({connection, timer: serverTimer, handlers});
  });

  function dial(timeout = 100) {
    const outcome: {result?: Result<Connection, TransportError>; at?: number} =
      {};
    network
      .transportFor(CLIENT)
      .dial(ADDRESS, timeout)
      .onSettled(result => {
        outcome.result = result;
        outcome.at = timer.now();
      });
    return outcome;
  }

  function connect(): RpcPeer {
    const outcome = dial();
    timer.runUntil(() => outcome.result !== undefined, 200);
    if (outcome.result === undefined || outcome.result.err) {
      throw new Error('The dial failed.');
    }
    const connection = outcome.result.val;
    return createRpcPeer({connection, timer: network.timerFor(CLIENT)});
  }

  /** Sends a value; the returned list gets the answer or the failure kind. */
  function call(peer: RpcPeer, value: number, timeout = 50): unknown[] {
    const answers: unknown[] = [];
    peer
      .request(echo, {value}, timeout)
      .onSettled(reply => answers.push(reply.ok ? reply.val : reply.val.kind));
    return answers;
  }

  return {timer, network, trace, arrived, dial, connect, call};
}

describe('the fake network', () => {
  test('connects in one round trip and answers in another', () => {
    const {timer, dial, connect, call} = createNetwork();
    const outcome = dial();
    timer.advance(10);
    expect(outcome.at).toEqual(4);
    const peer = connect();
    const start = timer.now();
    const answers = call(peer, 7);
    timer.runUntil(() => answers.length > 0, 50);
    expect(answers).toEqual([7]);
    expect(timer.now() - start).toEqual(4);
  });

  test('keeps the message order of a connection under jitter', () => {
    const {timer, connect, call, arrived} = createNetwork(3, 10);
    const peer = connect();
    for (let value = 0; value < 50; value++) {
      call(peer, value);
      timer.advance(0.1);
    }
    timer.advance(50);
    expect(arrived).toEqual([...Array(50).keys()]);
  });

  test('produces the same trace for the same seed', () => {
    function run(seed: number): string[] {
      const {timer, connect, call, trace} = createNetwork(seed, 3);
      const peers = [connect(), connect()];
      peers.forEach((peer, index) => call(peer, index));
      timer.advance(50);
      return trace;
    }
    expect(run(5)).toEqual(run(5));
    expect(run(5)).not.toEqual(run(6));
  });

  test('blocks traffic in a partition, then retransmits messages', () => {
    const {timer, network, connect, call, dial, arrived} = createNetwork();
    const peer = connect();
    network.partition(CLIENT, SERVER);
    const answers = call(peer, 1);
    const outcome = dial(100);
    timer.advance(150);
    expect(answers).toEqual(['timeout']);
    expect(outcome.result?.err && outcome.result.val.kind).toEqual('timeout');
    expect(arrived).toEqual([]);
    call(peer, 2);
    network.heal(CLIENT, SERVER);
    timer.advance(20);
    expect(arrived).toEqual([1, 2]);
  });

  test('can partition one direction only', () => {
    const {timer, network, connect, call, arrived} = createNetwork();
    const peer = connect();
    network.partitionGroups([SERVER], [CLIENT], 'one-way');
    const answers = call(peer, 1);
    timer.advance(100);
    expect(arrived).toEqual([1]);
    expect(answers).toEqual(['timeout']);
  });

  test('can drop the messages of open connections while new ones work', () => {
    const {timer, network, connect, call, arrived} = createNetwork();
    const old = connect();
    network.blackholeConnections(CLIENT, SERVER);
    const lost = call(old, 1);
    const answers = call(connect(), 2);
    timer.advance(100);
    expect(lost).toEqual(['timeout']);
    expect(answers).toEqual([2]);
    expect(arrived).toEqual([2]);
    expect(old.closed.isSettled()).toEqual(false);
  });

  test('resets the connections of a killed host and refuses dials', () => {
    const {timer, network, connect, call, dial} = createNetwork();
    const peer = connect();
    const answers = call(peer, 1);
    network.killHost(SERVER);
    const outcome = dial();
    timer.advance(10);
    expect(answers).toEqual(['closed']);
    expect(outcome.result?.err && outcome.result.val.kind).toEqual('refused');
  });

  test('times out dials to a removed host', () => {
    const {timer, network, connect, dial} = createNetwork();
    const peer = connect();
    network.removeHost(SERVER);
    const outcome = dial(100);
    timer.advance(150);
    expect(outcome.result?.err && outcome.result.val.kind).toEqual('timeout');
    expect(peer.closed.isSettled()).toEqual(false);
  });

  test('delays timers and messages of a frozen host, but accepts dials', () => {
    const {timer, network, connect, call, dial, arrived} = createNetwork();
    const peer = connect();
    const fired: number[] = [];
    network.timerFor(SERVER).after(5, () => fired.push(timer.now()));
    network.freezeHost(SERVER);
    call(peer, 1, 500);
    const outcome = dial();
    timer.advance(100);
    expect(outcome.result?.ok).toEqual(true);
    expect([arrived, fired]).toEqual([[], []]);
    network.thawHost(SERVER);
    expect(arrived).toEqual([1]);
    expect(fired).toEqual([timer.now()]);
  });

  test('drops an answer but not its request', () => {
    const {timer, network, connect, call, arrived} = createNetwork();
    const peer = connect();
    network.loseAnswers(message => message.method === 'echo');
    const lost = call(peer, 1);
    const answers = call(peer, 2);
    timer.advance(100);
    expect(arrived).toEqual([1, 2]);
    expect(lost).toEqual(['timeout']);
    expect(answers).toEqual([2]);
  });

  test('delays a message without delaying other connections', () => {
    const {timer, network, connect, call, arrived} = createNetwork();
    const [slow, fast] = [connect(), connect()];
    network.delayMessages(message => !message.isAnswer, 20, 1);
    call(slow, 1);
    call(fast, 2);
    timer.advance(100);
    expect(arrived).toEqual([2, 1]);
  });

  test('gives each host its own wall clock offset', () => {
    const {timer, network} = createNetwork();
    network.timerFor(SERVER).setWallClockOffset(-500);
    const difference = timer.wallClock() - network.timerFor(SERVER).wallClock();
    expect(difference).toEqual(500);
  });
});
