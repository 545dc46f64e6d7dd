/**
 * What one proxy adds to a read and how much it carries: the same load straight
 * to a database and through the proxy, side by side in one run.
 */
import {createHttpClient} from '@kelpstep/cli';
import {callerRead, callerWrite, targetStatus} from '@kelpstep/protocol';
import {createRpcPeer, createTcpTransport} from '@kelpstep/rpc';
import {createRealTimer, promiseFromFuture} from '@kelpstep/runtime';

import type {Row} from '../report';
import {BenchProcesses, GROUP, startBenchProcesses} from './bench_processes';
import type {LoadPlan, LoadResult} from './load_plan';

/** What a run is given. */
export interface ProxiedReadOptions {
  /** Length of each measured phase, milliseconds. */
  readonly duration: number;
  /** Flags for the proxy's Node.js. */
  readonly proxyFlags: readonly string[];
  /** Only phases whose load has this in its name. */
  readonly only: string;
  /** Told of each row as it is there. */
  onRow(row: Row): void;
}

type Aim = Pick<
  LoadPlan,
  'address' | 'protocol' | 'method' | 'parameters' | 'keyed'
>;

const OPEN_LOOP_RATE = 2000;
const OPEN_LOOP_CONNECTIONS = 32;
const CLOSED_LOOP_CONNECTIONS = 64;
const CALLER_CONNECTIONS = 1000;
const IDLE_CONNECTIONS = 10_000;
const WARM_UP = 1000;
const TIMEOUT = 5000;
const MAXIMUM_AGE = 60_000;
const MICROSECONDS = 1000;
const MEMORY_RATE = 2000;

const statement = {text: 'get ?', parameters: ['page']};
const writeStatement = {text: 'set ? ?', parameters: ['page', 'text']};

/** A session's token, so that reads must see its write. */
async function writeOnce(proxy: string): Promise<string> {
  const client = createHttpClient({address: proxy, timeout: TIMEOUT});
  const parameters = {group: GROUP, statement: writeStatement};
  return (await client.request(callerWrite, parameters)).unwrap().token;
}

async function servingReplica(proxy: string): Promise<string> {
  const client = createHttpClient({address: proxy, timeout: TIMEOUT});
  const parameters = {group: GROUP, token: '', statement};
  const answer = await client.request(callerRead, parameters);
  return answer.unwrap().servedBy.target;
}

interface MemberState {
  readonly address: string;
  readonly id: string;
  readonly isPrimary: boolean;
  readonly term: number;
}

async function askStatus(address: string): Promise<MemberState> {
  const dialled = await promiseFromFuture(
    createTcpTransport().dial(address, TIMEOUT),
  );
  const peer = createRpcPeer({
    connection: dialled.unwrap(),
    timer: createRealTimer(),
  });
  const reply = peer.request(targetStatus, {}, TIMEOUT);
  const {target, role, term} = (await promiseFromFuture(reply)).unwrap();
  peer.close('asked');
  return {address, id: target, isPrimary: role === 'primary', term};
}

function rowOf(load: string, path: string, result: LoadResult): Row {
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

async function createAims(processes: BenchProcesses) {
  const {proxy} = processes;
  const token = await writeOnce(proxy);
  const replicaId = await servingReplica(proxy);
  const members = await Promise.all(processes.databases.map(askStatus));
  const replica = members.find(({id}) => id === replicaId);
  const primary = members.find(({isPrimary}) => isPrimary);
  if (replica === undefined || primary === undefined) {
    throw new Error('No replica or no primary to compare with.');
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
      parameters: {...view, token: '', maximumAge: MAXIMUM_AGE},
    },
    sessionRead: {...read, parameters: {...view, token}},
    barrierRead: {...read, parameters: view},
    write: {
      ...proxied,
      method: 'write',
      parameters: {group: GROUP, kind: 'view', statement: writeStatement},
      keyed: true,
    },
  } satisfies Record<string, Aim>;
}

async function warmUp(
  {run}: BenchProcesses,
  aims: Readonly<Record<string, Aim>>,
): Promise<void> {
  for (const aim of Object.values(aims)) {
    const pace = {connections: OPEN_LOOP_CONNECTIONS, warmUp: 0};
    await run({...aim, ...pace, duration: WARM_UP});
  }
}

/** Runs the bench; about a minute. */
export async function runProxiedRead(
  options: ProxiedReadOptions,
): Promise<void> {
  const {duration, proxyFlags, only, onRow} = options;
  const processes = await startBenchProcesses(proxyFlags);

  async function measure(
    load: string,
    path: string,
    aim: Aim,
    pace: Pick<LoadPlan, 'connections' | 'rate'>,
  ): Promise<void> {
    if (!load.includes(only)) {
      return;
    }
    const plan = {...aim, ...pace, duration, warmUp: WARM_UP};
    const before = processes.proxyProcessorTime();
    const result = await processes.run(plan);
    const taken = processes.proxyProcessorTime() - before;
    if (result.firstFailure !== undefined) {
      process.stderr.write(`${load}: ${result.firstFailure}\n`);
    }
    onRow({
      ...rowOf(load, path, result),
      // Steadier than the rate on a machine that others use too.
      proxyMicroseconds:
        path === 'proxy' ? (taken * MICROSECONDS) / result.sent : 0,
      proxyMegabytes: processes.proxyMemory(),
    });
  }

  try {
    const aims = await createAims(processes);
    const measureMemory = (state: string) =>
      measure(
        `session read, ${CALLER_CONNECTIONS} connections, ${state}`,
        'proxy',
        aims.sessionRead,
        {connections: CALLER_CONNECTIONS, rate: MEMORY_RATE},
      );
    await measureMemory('fresh');
    // So that no phase pays for code that was not compiled yet.
    await warmUp(processes, aims);
    const open = {connections: OPEN_LOOP_CONNECTIONS, rate: OPEN_LOOP_RATE};
    const closed = {connections: CLOSED_LOOP_CONNECTIONS};
    const openName = `${OPEN_LOOP_RATE}/s`;
    await measure(`read ${openName}`, 'direct', aims.directRead, open);
    await measure(`aged read ${openName}`, 'proxy', aims.agedRead, open);
    await measure(`session read ${openName}`, 'proxy', aims.sessionRead, open);
    await measure(`barrier read ${openName}`, 'proxy', aims.barrierRead, open);
    await measure('read highest', 'direct', aims.directRead, closed);
    await measure('aged read highest', 'proxy', aims.agedRead, closed);
    await measure('session read highest', 'proxy', aims.sessionRead, closed);
    await measure('barrier read highest', 'proxy', aims.barrierRead, closed);
    await measure('write highest', 'direct', aims.directWrite, closed);
    await measure('write highest', 'proxy', aims.write, closed);
    await measureMemory('after load');
    const idle = await processes.holdIdle(IDLE_CONNECTIONS);
    await measure(
      `session read, ${idle} idle`,
      'proxy',
      aims.sessionRead,
      open,
    );
    await processes.releaseIdle();
  } finally {
    await processes.end();
  }
}
