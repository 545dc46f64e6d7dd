/** Starts, stops, kills and freezes the proxies of a simulated run. */
import {readSettings} from '@kelpstep/manifest';
import {LineWriter, createLogger} from '@kelpstep/observability';
import {Proxy, ProxyContext, createProxy} from '@kelpstep/proxy';
import {Random, Runtime, TimerService, createRuntime} from '@kelpstep/runtime';
import type {FakeNetwork, HostTimer} from '@kelpstep/stand-ins';

import type {ReachableProxy} from './caller_link';
import {Deployment, proxyHost} from './deployments';
import type {PlatformAccess} from './platform_access';

/** A proxy process of a run. */
export interface FleetProxy extends ReachableProxy {
  readonly host: string;
  readonly proxy: Proxy;
}

/** The proxies of a run. */
export interface ProxyFleet {
  /** Starts a proxy process; it replaces an earlier one of the same name. */
  start(name: string): void;
  kill(name: string): void;
  freeze(name: string): void;
  thaw(name: string): void;
  /** Stops a proxy gracefully; its process ends after the drain. */
  stop(name: string): void;
  thawAll(): void;
  find(name: string): FleetProxy | undefined;
  /** Proxies whose process is running, frozen ones included. */
  running(): readonly FleetProxy[];
  /** Proxies that the load balancer offered at its last readiness poll. */
  offered(): readonly FleetProxy[];
  /** IP of the host of a proxy. */
  hostOf(name: string): string;
}

/** Options of `createProxyFleet`. */
export interface ProxyFleetOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly platform: PlatformAccess;
  readonly deployment: Deployment;
  readonly size: number;
  readonly writeLog: LineWriter;
  /** Policies and timings that replace the defaults. */
  readonly overrides: Pick<ProxyContext, 'policies' | 'timings'>;
}

const PEER_PORT = 7002;
const SEED_COUNT = 3;
/** Interval at which the load balancer polls the readiness of proxies. */
const BALANCER_POLL_PERIOD_MS = 100;

/** Creates a fleet without running proxies. */
export function createProxyFleet(options: ProxyFleetOptions): ProxyFleet {
  const {timer, random, network, platform, deployment, size} = options;
  const proxies = new Map<string, FleetProxy>();
  const runtimes = new Map<string, Runtime>();
  let offered: FleetProxy[] = [];

  function indexOf(name: string): number {
    return Number(name.replace('proxy-', '')) - 1;
  }

  function hostOf(name: string): string {
    const index = indexOf(name);
    return proxyHost(index % deployment.dataCentres.length, index);
  }

  function settingsOf(name: string) {
    const host = hostOf(name);
    const dataCentre =
      deployment.dataCentres[indexOf(name) % deployment.dataCentres.length];
    const seeds = Array.from(
      {length: Math.min(size, SEED_COUNT)},
      (unusedItem, index) => `${hostOf(`proxy-${index + 1}`)}:${PEER_PORT}`,
    );
    return readSettings(
      [
        'format: 1',
        `proxy: ${name}`,
        `dataCentre: ${dataCentre}`,
        'addresses:',
        `  callers: ${host}:7000`,
        `  operators: ${host}:7001`,
        `  peers: ${host}:${PEER_PORT}`,
        'platform: {addresses: [10.9.9.9:80]}',
        `seeds: [${seeds.join(', ')}]`,
        'operatorToken: scenario-operator-token',
      ].join('\n'),
      `${name}.yaml`,
    ).unwrap();
  }

  function start(name: string): void {
    const host = hostOf(name);
    const process: HostTimer = network.timerFor(host);
    const runtime = createRuntime({timer: process, random: random.split()});
    const proxy = createProxy(settingsOf(name), {
      runtime,
      transport: network.transportFor(host),
      platform: platform.clientFor(host, process),
      logger: createLogger({
        part: 'proxy',
        proxy: name,
        timer: process,
        writeLine: options.writeLog,
      }),
      ...options.overrides,
    });
    proxy.start();
    runtimes.set(name, runtime);
    proxies.set(name, {
      name,
      host,
      process,
      proxy,
      handlers: proxy.callerHandlers,
    });
    platform.list({
      id: name,
      role: 'proxy',
      address: proxy.identity.address,
      dataCentre: proxy.identity.dataCentre,
      state: 'live',
    });
  }

  function terminate(name: string): void {
    runtimes.get(name)?.shutdown();
    network.killHost(hostOf(name));
  }

  function stop(name: string): void {
    const entry = proxies.get(name);
    entry?.proxy.stop().onSettled(() => {
      entry.proxy.close();
      if (proxies.get(name) === entry) {
        terminate(name);
      }
    });
  }

  function running(): FleetProxy[] {
    return [...proxies.values()].filter(({process}) => !process.isStopped());
  }

  function refreshOffered(): void {
    offered = running().filter(
      ({process, proxy}) =>
        !process.isFrozen() && proxy.unreadyReason() === undefined,
    );
  }

  timer.every(BALANCER_POLL_PERIOD_MS, refreshOffered);

  return {
    start,
    kill: terminate,
    freeze: name => network.freezeHost(hostOf(name)),
    thaw: name => network.thawHost(hostOf(name)),
    stop,
    thawAll: () => running().forEach(({host}) => network.thawHost(host)),
    find: name => proxies.get(name),
    running,
    offered: () => offered,
    hostOf,
  };
}
