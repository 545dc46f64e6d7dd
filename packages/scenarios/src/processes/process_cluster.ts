/** One group of databases, the platform and proxies, all as processes. */
import {HttpClient, createHttpClient} from '@kelpstep/cli';
import type {TargetStatus} from '@kelpstep/protocol';
import {ProxyStatus, manifestCommit, proxyStatus} from '@kelpstep/proxy';

import {askTarget} from './direct_target';
import {eventually} from './eventually';
import {
  OPERATOR_TOKEN,
  ProcessTable,
  ProxyPlan,
  ProxyProcess,
  StandInProcess,
} from './process_table';

/** The group of every process cluster. */
export const PROCESS_GROUP = 'logbook';

/** What to start. */
export interface ProcessClusterOptions {
  /** Names of the proxies. */
  readonly proxies: readonly string[];
  readonly slots: number;
  readonly connectionLimit: number;
  /** Options of the database stand-ins, as on a command line. */
  readonly databaseOptions?: readonly string[];
  readonly acceptTime?: number;
}

/** A primary, as a proxy knows it. */
export interface KnownPrimary {
  readonly id: string;
  readonly term: number;
}

/** Processes that serve one group. */
export interface ProcessCluster {
  readonly members: readonly string[];
  readonly plans: readonly ProxyPlan[];
  /** Proxies that were started last, by name. */
  readonly proxies: ReadonlyMap<string, ProxyProcess>;
  database(id: string): StandInProcess;
  platform(): StandInProcess;
  /** Callers' addresses of all proxies. */
  callerAddresses(): string[];
  /** Starts a database anew and empty, at its address. */
  restartDatabase(id: string): Promise<void>;
  restartPlatform(): Promise<void>;
  startProxy(name: string): Promise<void>;
  /** What a proxy tells of itself; undefined if it doesn't answer. */
  status(proxy: string): Promise<ProxyStatus | undefined>;
  /** The primary, once the proxy knows one other than `previous`. */
  untilPrimary(proxy: string, previous?: KnownPrimary): Promise<KnownPrimary>;
  /** Waits until all members follow one primary at one term's end. */
  untilWhole(): Promise<KnownPrimary>;
  /** Commits the manifest; members in `leaving` are called leaving. */
  commit(
    proxy: string,
    expectedVersion: number,
    leaving?: readonly string[],
  ): Promise<void>;
  untilInForce(proxy: string, version: number): Promise<void>;
}

const STATUS_TIMEOUT = 2000;
const COMMIT_TIMEOUT = 20_000;
const DEFAULT_ACCEPT_TIME = 100;
const DRAIN_TIME = 10_000;
const MEMBERS = ['logbook-1', 'logbook-2', 'logbook-3'];

function operators({operators: address}: ProxyPlan, timeout: number) {
  return createHttpClient({address, token: OPERATOR_TOKEN, timeout});
}

async function statusOf(client: HttpClient): Promise<ProxyStatus | undefined> {
  const reply = await client.request(proxyStatus, {});
  return reply.ok ? reply.val : undefined;
}

function primaryOf(status: ProxyStatus | undefined): KnownPrimary | undefined {
  const leadership = status?.groups[0]?.leadership;
  return leadership && {id: leadership.primary, term: leadership.term};
}

/** True if all members are at the end of the log that one of them leads. */
function areWhole(statuses: readonly (TargetStatus | undefined)[]): boolean {
  const [first] = statuses;
  const primaries = statuses.filter(status => status?.role === 'primary');
  return (
    first !== undefined &&
    primaries.length === 1 &&
    statuses.every(
      status =>
        status !== undefined &&
        status.catchingUp !== true &&
        status.term === first.term &&
        status.end.term === first.end.term &&
        (status.role === 'primary' || status.following !== undefined),
    )
  );
}

/** Starts a cluster and waits until its group has a primary. */
export async function startProcessCluster(
  processes: ProcessTable,
  options: ProcessClusterOptions,
): Promise<ProcessCluster> {
  const databases = new Map<string, StandInProcess>();
  const proxies = new Map<string, ProxyProcess>();
  let platform = await processes.startStandIn(['platform']);
  const plans = processes.planProxies(options.proxies, platform.address);

  function database(id: string): StandInProcess {
    const found = databases.get(id);
    if (found === undefined) {
      throw new Error(`No database ${id}.`);
    }
    return found;
  }

  function plan(name: string): ProxyPlan {
    const found = plans.find(candidate => candidate.name === name);
    if (found === undefined) {
      throw new Error(`No proxy ${name}.`);
    }
    return found;
  }

  async function startDatabase(id: string, address?: string): Promise<void> {
    const parameters = [
      ...['database', '--id', id],
      ...['--slots', String(options.slots)],
      ...['--connection-limit', String(options.connectionLimit)],
      ...(options.databaseOptions ?? []),
    ];
    databases.set(id, await processes.startStandIn(parameters, address));
  }

  function manifest(leaving: readonly string[]): string {
    const members = MEMBERS.map(id => ({
      id,
      dataCentre: 'lima',
      address: database(id).address,
      state: leaving.includes(id) ? 'leaving' : 'serving',
      slots: options.slots,
      connectionLimit: options.connectionLimit,
    }));
    return JSON.stringify({
      format: 1,
      service: 'logbook',
      dataCentres: ['lima'],
      groups: [{name: PROCESS_GROUP, readStaleness: 3000, members}],
      kinds: [{name: 'entry', worth: 10, deadline: 5000}],
      stop: {
        acceptTime: options.acceptTime ?? DEFAULT_ACCEPT_TIME,
        drainTime: DRAIN_TIME,
      },
    });
  }

  async function commit(
    proxy: string,
    expectedVersion: number,
    leaving: readonly string[] = [],
  ): Promise<void> {
    const client = operators(plan(proxy), COMMIT_TIMEOUT);
    const committed = await client.request(manifestCommit, {
      body: manifest(leaving),
      fileName: 'logbook.yaml',
      expectedVersion,
      commitId: `commit-${expectedVersion + 1}`,
      committedBy: 'ana',
    });
    committed.unwrap();
  }

  function status(proxy: string): Promise<ProxyStatus | undefined> {
    return statusOf(operators(plan(proxy), STATUS_TIMEOUT));
  }

  async function untilInForce(proxy: string, version: number): Promise<void> {
    await eventually(`version ${version} on ${proxy}`, async () => {
      const seen = (await status(proxy))?.manifest.version ?? 0;
      return seen >= version || undefined;
    });
  }

  function untilPrimary(proxy: string, previous?: KnownPrimary) {
    return eventually(`a primary known to ${proxy}`, async () => {
      const known = primaryOf(await status(proxy));
      const isNew = known !== undefined && known.id !== previous?.id;
      return isNew ? known : undefined;
    });
  }

  function untilWhole(): Promise<KnownPrimary> {
    return eventually('a group whose members all follow', async () => {
      const statuses = await Promise.all(
        MEMBERS.map(id => askTarget(database(id).address)),
      );
      const primary = statuses.find(each => each?.role === 'primary');
      return primary !== undefined && areWhole(statuses)
        ? {id: primary.target, term: primary.term}
        : undefined;
    });
  }

  async function startProxy(name: string): Promise<void> {
    proxies.set(name, await processes.startProxy(plan(name)));
  }

  await Promise.all([
    ...MEMBERS.map(id => startDatabase(id)),
    ...options.proxies.map(startProxy),
  ]);
  await commit(options.proxies[0] ?? '', 0);
  await Promise.all(options.proxies.map(name => untilInForce(name, 1)));
  await Promise.all(options.proxies.map(name => untilPrimary(name)));

  return {
    members: MEMBERS,
    plans,
    proxies,
    database,
    platform: () => platform,
    callerAddresses: () => plans.map(({callers}) => callers),
    restartDatabase: id => startDatabase(id, database(id).address),
    async restartPlatform() {
      platform = await processes.startStandIn(['platform'], platform.address);
    },
    startProxy,
    status,
    untilPrimary,
    untilWhole,
    commit,
    untilInForce,
  };
}
