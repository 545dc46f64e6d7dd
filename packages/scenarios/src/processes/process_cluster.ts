/** Runs one group of databases, the platform and proxies as processes. */
import {HttpClient, createHttpClient} from '@kelpstep/cli';
import type {TargetStatus} from '@kelpstep/protocol';
import {ProxyStatus, manifestCommit, proxyStatus} from '@kelpstep/proxy';

import {probeTarget} from './direct_target';
import {eventually} from './eventually';
import {
  OPERATOR_TOKEN,
  ProcessTable,
  ProxyPlan,
  ProxyProcess,
  StandInProcess,
} from './process_table';

/** Name of the group in every process cluster. */
export const PROCESS_GROUP = 'logbook';

/** Options of `startProcessCluster`. */
export interface ProcessClusterOptions {
  /** Names of the proxies. */
  readonly proxies: readonly string[];
  readonly slots: number;
  readonly connectionLimit: number;
  /** Additional command-line options of the database stand-ins. */
  readonly databaseOptions?: readonly string[];
  /** Time for which a stopping proxy still accepts requests, milliseconds. */
  readonly acceptTime?: number;
}

/** Member id and term of a primary, as reported by a proxy or the members. */
export interface KnownPrimary {
  readonly id: string;
  readonly term: number;
}

/** The processes that serve one group. */
export interface ProcessCluster {
  readonly members: readonly string[];
  readonly plans: readonly ProxyPlan[];
  /** The most recently started process of each proxy, by name. */
  readonly proxies: ReadonlyMap<string, ProxyProcess>;
  database(id: string): StandInProcess;
  platform(): StandInProcess;
  /** Callers' addresses of all proxies. */
  callerAddresses(): string[];
  /** Starts an empty database at the address of the previous one. */
  restartDatabase(id: string): Promise<void>;
  restartPlatform(): Promise<void>;
  startProxy(name: string): Promise<void>;
  /** Status that a proxy reports; undefined if it does not answer. */
  status(proxy: string): Promise<ProxyStatus | undefined>;
  /** Waits until the proxy knows a primary other than `previous`. */
  untilPrimary(proxy: string, previous?: KnownPrimary): Promise<KnownPrimary>;
  /**
   * Waits until one member is primary, all others follow it and the logs of all
   * members end in the same term.
   */
  untilConverged(): Promise<KnownPrimary>;
  /** Commits the manifest with the members in `leaving` in state `leaving`. */
  commit(
    proxy: string,
    expectedVersion: number,
    leaving?: readonly string[],
  ): Promise<void>;
  untilInForce(proxy: string, version: number): Promise<void>;
}

const STATUS_TIMEOUT_MS = 2000;
const COMMIT_TIMEOUT_MS = 20_000;
const DEFAULT_ACCEPT_TIME_MS = 100;
const DRAIN_TIME_MS = 10_000;
const MEMBERS = ['logbook-1', 'logbook-2', 'logbook-3'];

function createOperatorClient(
  {operators: address}: ProxyPlan,
  timeout: number,
) {
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

/** True if all members follow one primary and their logs end in its term. */
function areConverged(
  statuses: readonly (TargetStatus | undefined)[],
): boolean {
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
        acceptTime: options.acceptTime ?? DEFAULT_ACCEPT_TIME_MS,
        drainTime: DRAIN_TIME_MS,
      },
    });
  }

  async function commit(
    proxy: string,
    expectedVersion: number,
    leaving: readonly string[] = [],
  ): Promise<void> {
    const client = createOperatorClient(plan(proxy), COMMIT_TIMEOUT_MS);
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
    return statusOf(createOperatorClient(plan(proxy), STATUS_TIMEOUT_MS));
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

  function untilConverged(): Promise<KnownPrimary> {
    return eventually('all members to follow one primary', async () => {
      const statuses = await Promise.all(
        MEMBERS.map(id => probeTarget(database(id).address)),
      );
      const primary = statuses.find(each => each?.role === 'primary');
      return primary !== undefined && areConverged(statuses)
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
    untilConverged,
    commit,
    untilInForce,
  };
}
