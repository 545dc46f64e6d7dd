/** Runs proxies and their targets on a fake network in virtual time. */
import {Settings, settingsSchema} from '@kelpstep/manifest';
import {createLogger} from '@kelpstep/observability';
import type {Method} from '@kelpstep/protocol';
import {HandlerTable, Reply, RpcPeer, createRpcPeer} from '@kelpstep/rpc';
import {
  Future,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  createDatabase,
  createFakeNetwork,
  createInProcessPlatformClient,
  createPlatform,
} from '@kelpstep/stand-ins';

import {Proxy, createProxy, manifestCommit} from '..';

export const GROUP = 'rules';
export const ACCEPT_TIME_MS = 1000;
export const DRAIN_TIME_MS = 2000;

const TARGET_PORT = 5432;
const PEER_PORT = 7200;
const MAXIMUM_WAIT_MS = 20_000;

function targetHost(index: number): string {
  return `10.0.1.${index + 1}`;
}

function proxyHost(index: number): string {
  return `10.0.2.${index + 1}`;
}

function manifestBody(): string {
  const members = [0, 1, 2].map(index => ({
    id: `rules-${index + 1}`,
    dataCentre: 'fukuoka',
    address: `${targetHost(index)}:${TARGET_PORT}`,
    slots: 3,
    connectionLimit: 20,
  }));
  return JSON.stringify({
    format: 1,
    service: 'handbook',
    dataCentres: ['fukuoka'],
    groups: [{name: GROUP, readStaleness: 5000, members}],
    kinds: [{name: 'page-view', worth: 1, deadline: 2000}],
    stop: {acceptTime: ACCEPT_TIME_MS, drainTime: DRAIN_TIME_MS},
  });
}

function settingsOf(index: number, seeds: readonly string[]): Settings {
  const host = proxyHost(index);
  return settingsSchema.parse({
    format: 1,
    proxy: `proxy-${index + 1}`,
    dataCentre: 'fukuoka',
    addresses: {
      callers: `${host}:7100`,
      peers: `${host}:${PEER_PORT}`,
      operators: `${host}:7300`,
    },
    platform: {addresses: ['10.0.3.1:7400']},
    seeds,
    operatorToken: 'token-of-the-operators',
  });
}

/** Starts three targets and two proxies without a manifest. */
export function startVirtualProxies(seed = 1) {
  const timer = createVirtualTimer();
  const random = createRandom(seed);
  const network = createFakeNetwork({timer, random: random.split()});
  const platform = createPlatform(timer);
  const databases = [0, 1, 2].map(index =>
    createDatabase({
      runtime: createRuntime({
        timer: network.timerFor(targetHost(index)),
        random: random.split(),
      }),
      transport: network.transportFor(targetHost(index)),
      target: `rules-${index + 1}`,
      address: `${targetHost(index)}:${TARGET_PORT}`,
    }),
  );
  const proxies = [0, 1].map(index => {
    const host = proxyHost(index);
    const hostTimer = network.timerFor(host);
    const settings = settingsOf(index, [
      `${proxyHost(1 - index)}:${PEER_PORT}`,
    ]);
    return createProxy(settings, {
      runtime: createRuntime({timer: hostTimer, random: random.split()}),
      transport: network.transportFor(host),
      platform: createInProcessPlatformClient({platform, timer: hostTimer}),
      logger: createLogger({
        part: 'proxy',
        proxy: settings.proxy,
        timer: hostTimer,
        writeLine: () => {},
      }),
    });
  });
  proxies.forEach(proxy => proxy.start());
  const [a, b] = proxies as [Proxy, Proxy];

  /** Waits for a future in virtual time and returns its value. */
  function settle<T>(future: Future<T>): T {
    const values: T[] = [];
    future.onSettled(value => values.push(value));
    timer.runUntil(() => values.length > 0, MAXIMUM_WAIT_MS);
    if (values.length === 0) {
      throw new Error('Did not settle.');
    }
    return values[0] as T;
  }

  function call<P, R>(
    handlers: HandlerTable,
    method: Method<P, R>,
    parameters: P,
  ): Reply<R> {
    const reply = handlers.dispatch(method.name, parameters, ANY_PEER);
    return settle(reply) as Reply<R>;
  }

  function commit(expectedVersion: number) {
    return call(a.operatorHandlers, manifestCommit, {
      body: manifestBody(),
      fileName: 'manifest.yaml',
      expectedVersion,
      commitId: `commit-${expectedVersion}`,
      committedBy: 'ana',
    });
  }

  function waitUntil(condition: () => boolean): boolean {
    return timer.runUntil(condition, MAXIMUM_WAIT_MS);
  }

  return {
    timer,
    network,
    platform,
    databases,
    a,
    b,
    settle,
    call,
    commit,
    waitUntil,
    targetHost,
  };
}

/** Peer passed to the handlers of callers and operators, which don't use it. */
const ANY_PEER: RpcPeer = createRpcPeer({
  connection: {
    remoteAddress: 'test',
    send: () => {},
    close: () => {},
    listen: () => {},
  },
  timer: createVirtualTimer(),
});
