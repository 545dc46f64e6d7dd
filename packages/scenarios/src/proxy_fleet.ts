/** The proxies of a simulated run: started, killed, paused, stopped. */
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
  /** Starts a process under a name, or one that takes its place. */
  start(name: string): void;
  kill(name: string): void;
  freeze(name: string): void;
  thaw(name: string): void;
  /** Stops gracefully; the process ends by itself. */
  stop(name: string): void;
  thawAll(): void;
  find(name: string): FleetProxy | undefined;
  /** Those that run. */
  running(): readonly FleetProxy[];
  /** Those that the balancer offers: its view lags. */
  offered(): readonly FleetProxy[];
  /** IP of a proxy's host by its name. */
  hostOf(name: string): string;
}

/** What a fleet is made of. */
export interface ProxyFleetOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly platform: PlatformAccess;
  readonly deployment: Deployment;
  readonly size: number;
  readonly writeLog: LineWriter;
  /** Policies and times that differ from the defaults. */
  readonly overrides: Pick<ProxyContext, 'policies' | 'timings'>;
}

const PEER_PORT = 7002;
const SEEDS = 3;
/** How often the balancer asks whether proxies are ready. */
const BALANCER_PERIOD = 100;

/** Creates a fleet in which nothing runs. */
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
      {length: Math.min(size, SEEDS)},
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

  function end(name: string): void {
    runtimes.get(name)?.shutdown();
    network.killHost(hostOf(name));
  }

  function stop(name: string): void {
    const entry = proxies.get(name);
    entry?.proxy.stop().onSettled(() => {
      entry.proxy.close();
      if (proxies.get(name) === entry) {
        end(name);
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

  timer.every(BALANCER_PERIOD, refreshOffered);

  return {
    start,
    kill: end,
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
