/** The demo's processes in one: stand-ins of databases and platform, proxies. */
import {Settings, settingsSchema} from '@kelpstep/manifest';
import {
  Daemon,
  manifestCommit,
  proxyStatus,
  startDaemon,
} from '@kelpstep/proxy';
import {startEmbeddedStandIns, freeAddresses} from '@kelpstep/stand-ins';
import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {HttpClient, createHttpClient} from '../http_client';

/** The demo's group of databases. */
export const DEMO_GROUP = 'handbook';

/** A proxy of the demo with clients of its two ports. */
export interface DemoProxy {
  readonly name: string;
  /** Address of the callers' port. */
  readonly address: string;
  /** Address of the operators' port. */
  readonly operatorAddress: string;
  readonly operatorToken: string;
  readonly callers: HttpClient;
  readonly operators: HttpClient;
}

/** What runs. */
export interface DemoCluster {
  readonly proxies: readonly [DemoProxy, DemoProxy];
  stop(): Promise<void>;
}

const MEMBERS = ['handbook-1', 'handbook-2', 'handbook-3'];
const DATA_CENTRES = ['fukuoka', 'kumamoto', 'kagoshima'];
const ADDRESSES_PER_PROXY = 3;
const SLOTS = 3;
const CONNECTION_LIMIT = 20;
const REPLICATION_LAG = 20;
const TOKEN_BYTES = 16;
const REQUEST_TIMEOUT = 10_000;
const POLL_INTERVAL = 20;

function demoManifest(addresses: readonly string[]): string {
  const members = MEMBERS.map((id, index) => ({
    id,
    dataCentre: DATA_CENTRES[index],
    address: addresses[index],
    slots: SLOTS,
    connectionLimit: CONNECTION_LIMIT,
  }));
  // JSON is YAML too.
  return JSON.stringify({
    format: 1,
    service: 'handbook',
    dataCentres: DATA_CENTRES,
    groups: [{name: DEMO_GROUP, readStaleness: 2000, members}],
    kinds: [
      {name: 'page-view', worth: 1, deadline: 2000},
      {name: 'acknowledgement', worth: 20, deadline: 5000},
    ],
    stop: {acceptTime: 100, drainTime: 1000},
  });
}

function demoSettings(
  proxy: string,
  dataCentre: string,
  [callers, peers, operators]: readonly string[],
  seeds: readonly string[],
  platform: string,
  operatorToken: string,
): Settings {
  return settingsSchema.parse({
    format: 1,
    proxy,
    dataCentre,
    addresses: {callers, peers, operators},
    platform: {addresses: [platform]},
    seeds,
    operatorToken,
    logLevel: 'warn',
  });
}

function describeProxy({proxy, addresses, operatorToken}: Settings): DemoProxy {
  return {
    name: proxy,
    address: addresses.callers,
    operatorAddress: addresses.operators,
    operatorToken,
    callers: createHttpClient({
      address: addresses.callers,
      timeout: REQUEST_TIMEOUT,
    }),
    operators: createHttpClient({
      address: addresses.operators,
      token: operatorToken,
      timeout: REQUEST_TIMEOUT,
    }),
  };
}

async function start(settings: Settings): Promise<Daemon> {
  const daemon = await startDaemon(settings);
  if (daemon.err) {
    throw new Error(daemon.val);
  }
  return daemon.val;
}

/** Commits the manifest at one proxy and waits until all have it. */
async function putInForce(
  body: string,
  proxies: readonly DemoProxy[],
): Promise<void> {
  for (const {operators} of proxies.slice(0, 1)) {
    const committed = await operators.request(manifestCommit, {
      body,
      fileName: 'demo.yaml',
      expectedVersion: 0,
      commitId: randomUUID(),
      committedBy: 'demo',
    });
    if (committed.err) {
      throw new Error(`${committed.val.name}: ${committed.val.message}`);
    }
  }
  for (const {operators} of proxies) {
    let version = 0;
    while (version === 0) {
      await sleep(POLL_INTERVAL);
      const status = await operators.request(proxyStatus, {});
      version = status.ok ? status.val.manifest.version : 0;
    }
  }
}

/** Starts all and puts the manifest in force. */
export async function startDemoCluster(): Promise<DemoCluster> {
  const standIns = await startEmbeddedStandIns({
    members: MEMBERS.map(id => ({id})),
    settings: {
      slots: SLOTS,
      connectionLimit: CONNECTION_LIMIT,
      lag: REPLICATION_LAG,
    },
  });
  const addresses = await freeAddresses(2 * ADDRESSES_PER_PROXY);
  const ofA = addresses.slice(0, ADDRESSES_PER_PROXY);
  const ofB = addresses.slice(ADDRESSES_PER_PROXY);
  const platform = standIns.platform.address;
  const token = randomBytes(TOKEN_BYTES).toString('hex');
  const settingsA = demoSettings(
    'a',
    'fukuoka',
    ofA,
    ofB.slice(1, 2),
    platform,
    token,
  );
  const settingsB = demoSettings(
    'b',
    'kumamoto',
    ofB,
    ofA.slice(1, 2),
    platform,
    token,
  );
  const daemons = [await start(settingsA), await start(settingsB)];
  const proxies = [describeProxy(settingsA), describeProxy(settingsB)] as const;
  const databases = standIns.databases.map(({address}) => address);
  await putInForce(demoManifest(databases), proxies);

  async function stop(): Promise<void> {
    await Promise.all(daemons.map(daemon => daemon.stop()));
    await standIns.stop();
  }

  return {proxies, stop};
}
