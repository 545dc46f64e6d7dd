/**
 * Runs the demo's two proxies and the stand-ins of databases and platform in
 * this process.
 */
import {Settings, settingsSchema} from '@kelpstep/manifest';
import {
  Daemon,
  manifestCommit,
  proxyStatus,
  startDaemon,
} from '@kelpstep/proxy';
import {startEmbeddedStandIns, findFreeAddresses} from '@kelpstep/stand-ins';
import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {HttpClient, createHttpClient} from '../http_client';

/** Name of the demo's database group. */
export const DEMO_GROUP = 'handbook';

/** A proxy of the demo with clients for its callers' and operators' ports. */
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

/** The running proxies of the demo. */
export interface DemoCluster {
  readonly proxies: readonly [DemoProxy, DemoProxy];
  /** Stops the proxies, then the stand-ins. */
  stop(): Promise<void>;
}

const MEMBERS = ['handbook-1', 'handbook-2', 'handbook-3'];
const DATA_CENTRES = ['fukuoka', 'kumamoto', 'kagoshima'];
/** Number of addresses per proxy: one each for callers, peers and operators. */
const ADDRESSES_PER_PROXY = 3;
const SLOTS_PER_MEMBER = 3;
const CONNECTIONS_PER_MEMBER = 20;
const REPLICATION_LAG_MS = 20;
const TOKEN_BYTES = 16;
const REQUEST_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;

function buildManifest(addresses: readonly string[]): string {
  const members = MEMBERS.map((id, index) => ({
    id,
    dataCentre: DATA_CENTRES[index],
    address: addresses[index],
    slots: SLOTS_PER_MEMBER,
    connectionLimit: CONNECTIONS_PER_MEMBER,
  }));
  // Every JSON document is valid YAML.
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

function buildSettings(
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

function createDemoProxy({
  proxy,
  addresses,
  operatorToken,
}: Settings): DemoProxy {
  return {
    name: proxy,
    address: addresses.callers,
    operatorAddress: addresses.operators,
    operatorToken,
    callers: createHttpClient({
      address: addresses.callers,
      timeout: REQUEST_TIMEOUT_MS,
    }),
    operators: createHttpClient({
      address: addresses.operators,
      token: operatorToken,
      timeout: REQUEST_TIMEOUT_MS,
    }),
  };
}

async function startOrThrow(settings: Settings): Promise<Daemon> {
  const daemon = await startDaemon(settings);
  if (daemon.err) {
    throw new Error(daemon.val);
  }
  return daemon.val;
}

/**
 * Commits the manifest at the first proxy and waits until it is in force on
 * all.
 */
async function commitManifest(
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
      await sleep(POLL_INTERVAL_MS);
      const status = await operators.request(proxyStatus, {});
      version = status.ok ? status.val.manifest.version : 0;
    }
  }
}

/** Starts stand-ins and proxies and commits the manifest. */
export async function startDemoCluster(): Promise<DemoCluster> {
  const standIns = await startEmbeddedStandIns({
    members: MEMBERS.map(id => ({id})),
    settings: {
      slots: SLOTS_PER_MEMBER,
      connectionLimit: CONNECTIONS_PER_MEMBER,
      lag: REPLICATION_LAG_MS,
    },
  });
  const addresses = await findFreeAddresses(2 * ADDRESSES_PER_PROXY);
  const addressesA = addresses.slice(0, ADDRESSES_PER_PROXY);
  const addressesB = addresses.slice(ADDRESSES_PER_PROXY);
  const platform = standIns.platform.address;
  const token = randomBytes(TOKEN_BYTES).toString('hex');
  const settingsA = buildSettings(
    'a',
    'fukuoka',
    addressesA,
    addressesB.slice(1, 2),
    platform,
    token,
  );
  const settingsB = buildSettings(
    'b',
    'kumamoto',
    addressesB,
    addressesA.slice(1, 2),
    platform,
    token,
  );
  const daemons = [
    await startOrThrow(settingsA),
    await startOrThrow(settingsB),
  ];
  const proxies = [
    createDemoProxy(settingsA),
    createDemoProxy(settingsB),
  ] as const;
  const databases = standIns.databases.map(({address}) => address);
  await commitManifest(buildManifest(databases), proxies);

  async function stop(): Promise<void> {
    await Promise.all(daemons.map(daemon => daemon.stop()));
    await standIns.stop();
  }

  return {proxies, stop};
}
