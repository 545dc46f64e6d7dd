/**
 * Measures the latency that a proxy adds and its throughput. Each run sends the
 * same load directly to a database and through the proxy.
 */
import {createHttpClient} from '@kelpstep/cli';
import {callerRead, callerWrite, targetStatus} from '@kelpstep/protocol';
import {createRpcPeer, createTcpTransport} from '@kelpstep/rpc';
import {createRealTimer, promiseFromFuture} from '@kelpstep/runtime';

import type {Row} from '../report';
import {BenchProcesses, GROUP, startBenchProcesses} from './bench_processes';
import type {LoadPlan, LoadResult} from './load_plan';

/** Phases of a bench run and the flags of its proxy. */
export interface ProxiedReadOptions {
  /** Length of each measured phase in milliseconds. */
  readonly duration: number;
  /** Node.js flags of the proxy. */
  readonly proxyFlags: readonly string[];
  /** Runs only the phases whose load name contains this text. */
  readonly only: string;
  /** Receives each row when its phase is complete. */
  onRow(row: Row): void;
}

type RequestTemplate = Pick<
  LoadPlan,
  'address' | 'protocol' | 'method' | 'parameters' | 'keyed'
>;

const OPEN_LOOP_RATE_PER_SECOND = 2000;
const OPEN_LOOP_CONNECTIONS = 32;
const CLOSED_LOOP_CONNECTIONS = 64;
const CALLER_CONNECTIONS = 1000;
const IDLE_CONNECTIONS = 10_000;
const WARM_UP_MS = 1000;
const REQUEST_TIMEOUT_MS = 5000;
const MAXIMUM_AGE_MS = 60_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const MEMORY_RATE_PER_SECOND = 2000;

const statement = {text: 'get ?', parameters: ['page']};
const writeStatement = {text: 'set ? ?', parameters: ['page', 'text']};

/** Writes once and returns the session token, so that reads see the write. */
async function createSessionToken(proxy: string): Promise<string> {
  const client = createHttpClient({
    address: proxy,
    timeout: REQUEST_TIMEOUT_MS,
  });
  const parameters = {group: GROUP, statement: writeStatement};
  return (await client.request(callerWrite, parameters)).unwrap().token;
}

async function findServingReplica(proxy: string): Promise<string> {
  const client = createHttpClient({
    address: proxy,
    timeout: REQUEST_TIMEOUT_MS,
  });
  const parameters = {group: GROUP, token: '', statement};
  const answer = await client.request(callerRead, parameters);
  return answer.unwrap().servedBy.target;
}

interface MemberStatus {
  readonly address: string;
  readonly id: string;
  readonly isPrimary: boolean;
  readonly term: number;
}

async function probeStatus(address: string): Promise<MemberStatus> {
  const dialled = await promiseFromFuture(
    createTcpTransport().dial(address, REQUEST_TIMEOUT_MS),
  );
  const peer = createRpcPeer({
    connection: dialled.unwrap(),
    timer: createRealTimer(),
  });
  const reply = peer.request(targetStatus, {}, REQUEST_TIMEOUT_MS);
  const {target, role, term} = (await promiseFromFuture(reply)).unwrap();
  peer.close('asked');
  return {address, id: target, isPrimary: role === 'primary', term};
}

function createRow(load: string, path: string, result: LoadResult): Row {
  const {answered, failed, unsent, perSecond} = result;
  const {median, p99, longest, generatorLoad} = result;
  return {
    load,
    path,
    perSecond,
    medianMilliseconds: median,
    p99Milliseconds: p99,
    longestMilliseconds: longest,
    answered,
    failed,
    unsent,
    generatorCores: generatorLoad,
  };
}

async function createRequestTemplates(processes: BenchProcesses) {
  const {proxy} = processes;
  const token = await createSessionToken(proxy);
  const replicaId = await findServingReplica(proxy);
  const members = await Promise.all(processes.databases.map(probeStatus));
  const replica = members.find(({id}) => id === replicaId);
  const primary = members.find(({isPrimary}) => isPrimary);
  if (replica === undefined || primary === undefined) {
    throw new Error('Found no primary or no serving replica for direct load.');
  }
  const direct = {protocol: 'lines', method: 'target.execute'} as const;
  const proxied = {address: proxy, protocol: 'http'} as const;
  const read = {...proxied, method: 'read'} as const;
  const view = {group: GROUP, kind: 'view', statement};
  return {
    directRead: {
      ...direct,
      address: replica.address,
      parameters: {statement, mode: 'read'},
    },
    directWrite: {
      ...direct,
      address: primary.address,
      parameters: {
        statement: writeStatement,
        mode: 'write',
        term: primary.term,
      },
      keyed: true,
    },
    agedRead: {
      ...read,
      parameters: {...view, token: '', maximumAge: MAXIMUM_AGE_MS},
    },
    sessionRead: {...read, parameters: {...view, token}},
    barrierRead: {...read, parameters: view},
    write: {
      ...proxied,
      method: 'write',
      parameters: {group: GROUP, kind: 'view', statement: writeStatement},
      keyed: true,
    },
  } satisfies Record<string, RequestTemplate>;
}

async function warmUpAll(
  {run}: BenchProcesses,
  templates: Readonly<Record<string, RequestTemplate>>,
): Promise<void> {
  for (const template of Object.values(templates)) {
    const loadShape = {connections: OPEN_LOOP_CONNECTIONS, warmUp: 0};
    await run({...template, ...loadShape, duration: WARM_UP_MS});
  }
}

/** Runs the bench, which takes about a minute. */
export async function runProxiedRead(
  options: ProxiedReadOptions,
): Promise<void> {
  const {duration, proxyFlags, only, onRow} = options;
  const processes = await startBenchProcesses(proxyFlags);

  async function measure(
    load: string,
    path: string,
    template: RequestTemplate,
    loadShape: Pick<LoadPlan, 'connections' | 'rate'>,
  ): Promise<void> {
    if (!load.includes(only)) {
      return;
    }
    const plan = {...template, ...loadShape, duration, warmUp: WARM_UP_MS};
    const processorTimeBefore = processes.proxyProcessorTime();
    const result = await processes.run(plan);
    const processorTime = processes.proxyProcessorTime() - processorTimeBefore;
    if (result.firstFailure !== undefined) {
      process.stderr.write(`${load}: ${result.firstFailure}\n`);
    }
    onRow({
      ...createRow(load, path, result),
      // This value varies less than the rate on a shared machine.
      proxyMicroseconds:
        path === 'proxy'
          ? (processorTime * MICROSECONDS_PER_MILLISECOND) / result.sent
          : 0,
      proxyMegabytes: processes.proxyMemoryMegabytes(),
    });
  }

  try {
    const templates = await createRequestTemplates(processes);
    const measureMemory = (state: string) =>
      measure(
        `session read, ${CALLER_CONNECTIONS} connections, ${state}`,
        'proxy',
        templates.sessionRead,
        {connections: CALLER_CONNECTIONS, rate: MEMORY_RATE_PER_SECOND},
      );
    await measureMemory('fresh');
    // The warm-up keeps compilation out of the measured phases.
    await warmUpAll(processes, templates);
    const openLoop = {
      connections: OPEN_LOOP_CONNECTIONS,
      rate: OPEN_LOOP_RATE_PER_SECOND,
    };
    const closedLoop = {connections: CLOSED_LOOP_CONNECTIONS};
    const openLoopName = `${OPEN_LOOP_RATE_PER_SECOND}/s`;
    await measure(
      `read ${openLoopName}`,
      'direct',
      templates.directRead,
      openLoop,
    );
    await measure(
      `aged read ${openLoopName}`,
      'proxy',
      templates.agedRead,
      openLoop,
    );
    await measure(
      `session read ${openLoopName}`,
      'proxy',
      templates.sessionRead,
      openLoop,
    );
    await measure(
      `barrier read ${openLoopName}`,
      'proxy',
      templates.barrierRead,
      openLoop,
    );
    await measure('read highest', 'direct', templates.directRead, closedLoop);
    await measure('aged read highest', 'proxy', templates.agedRead, closedLoop);
    await measure(
      'session read highest',
      'proxy',
      templates.sessionRead,
      closedLoop,
    );
    await measure(
      'barrier read highest',
      'proxy',
      templates.barrierRead,
      closedLoop,
    );
    await measure('write highest', 'direct', templates.directWrite, closedLoop);
    await measure('write highest', 'proxy', templates.write, closedLoop);
    await measureMemory('after load');
    const idle = await processes.openIdleConnections(IDLE_CONNECTIONS);
    await measure(
      `session read, ${idle} idle`,
      'proxy',
      templates.sessionRead,
      openLoop,
    );
    await processes.closeIdleConnections();
  } finally {
    await processes.end();
  }
}
