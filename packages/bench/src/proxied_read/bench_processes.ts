/** Processes of the bench: platform, databases, one proxy, a load generator. */
import {manifestCommit} from '@kelpstep/proxy';
import {createHttpClient} from '@kelpstep/cli';
import {callerRead} from '@kelpstep/protocol';
import {findFreeAddresses} from '@kelpstep/stand-ins';
import {ChildProcess, fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

import {buildPrograms} from './bundles';
import type {
  GeneratorOrder,
  GeneratorReport,
  LoadPlan,
  LoadResult,
} from './load_plan';

/** Addresses and controls of the running processes of the bench. */
export interface BenchProcesses {
  /** Address of the proxy for callers. */
  readonly proxy: string;
  /** Addresses of the databases. */
  readonly databases: readonly string[];
  run(plan: LoadPlan): Promise<LoadResult>;
  /** Opens idle connections to the proxy; returns how many stay open. */
  openIdleConnections(connections: number): Promise<number>;
  closeIdleConnections(): Promise<void>;
  /** Resident memory of the proxy in megabytes of 10^6 bytes. */
  proxyMemoryMegabytes(): number;
  /** Processor time that the proxy has used so far, in milliseconds. */
  proxyProcessorTime(): number;
  end(): Promise<void>;
}

export const GROUP = 'bench';
const MEMBER_IDS = ['bench-1', 'bench-2', 'bench-3'];
const DATA_CENTRE = 'here';
const OPERATOR_TOKEN = 'token-of-the-bench';
const ANY_PORT_ADDRESS = '127.0.0.1:0';
const REQUEST_TIMEOUT_MS = 10_000;
const STARTUP_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
/**
 * Number of slots of each database, and half its connection limit; it is high
 * enough that neither limits the load.
 */
const AMPLE_SLOT_COUNT = 200;
const BYTES_PER_KIBIBYTE = 1024;
/** Indexes among the fields after the program name in `/proc/PID/stat`. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const MILLISECONDS_PER_TICK = 10;
const BYTES_PER_MEGABYTE = 1_000_000;

async function waitUntil(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const end = Date.now() + STARTUP_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > end) {
      throw new Error(
        `Timed out after ${STARTUP_TIMEOUT_MS} ms waiting for ${description}.`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function createManifest(databases: readonly string[]): string {
  return JSON.stringify({
    format: 1,
    service: 'bench',
    dataCentres: [DATA_CENTRE],
    groups: [
      {
        name: GROUP,
        readStaleness: 60_000,
        members: MEMBER_IDS.map((id, index) => ({
          id,
          dataCentre: DATA_CENTRE,
          address: databases[index],
          slots: AMPLE_SLOT_COUNT,
          connectionLimit: 2 * AMPLE_SLOT_COUNT,
        })),
      },
    ],
    kinds: [{name: 'view', worth: 1, deadline: 5000}],
    stop: {acceptTime: 100, drainTime: 1000},
  });
}

async function readListeningAddress(child: ChildProcess): Promise<string> {
  if (child.stdout === null) {
    throw new Error('The process has no standard output to read its address.');
  }
  const [line] = await once(createInterface(child.stdout), 'line');
  return JSON.parse(String(line)).address;
}

async function requestReport<R extends GeneratorReport['report']>(
  generator: ChildProcess,
  order: GeneratorOrder,
  kind: R,
): Promise<Extract<GeneratorReport, {report: R}>> {
  const message = once(generator, 'message');
  generator.send(order);
  const [report] = (await message) as [GeneratorReport];
  if (report.report !== kind) {
    throw new Error(
      `Load generator reported "${report.report}", expected "${kind}".`,
    );
  }
  return report as Extract<GeneratorReport, {report: R}>;
}

/**
 * Builds and starts all processes. `proxyFlags` are passed to the Node.js of the
 * proxy, for example to write a profile.
 */
export async function startBenchProcesses(
  proxyFlags: readonly string[] = [],
): Promise<BenchProcesses> {
  const directory = mkdtempSync(join(tmpdir(), 'kelpstep-bench-'));
  const children: ChildProcess[] = [];

  function start(parameters: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, parameters, {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    children.push(child);
    return child;
  }

  /** Stops the proxy with SIGTERM, so that Node.js can write a profile. */
  async function end(): Promise<void> {
    for (const child of children) {
      if (child.exitCode === null && child.signalCode === null) {
        const exited = once(child, 'exit');
        child.kill(child === proxyChild ? 'SIGTERM' : 'SIGKILL');
        await exited;
      }
    }
    rmSync(directory, {recursive: true});
  }

  const programs = await buildPrograms(directory);
  const addressOptions = ['--address', ANY_PORT_ADDRESS];
  const platform = await readListeningAddress(
    start([programs.standIn, 'platform', ...addressOptions]),
  );
  const capacityOptions = [
    '--slots',
    `${AMPLE_SLOT_COUNT}`,
    '--connection-limit',
    `${2 * AMPLE_SLOT_COUNT}`,
  ];
  const databases = await Promise.all(
    MEMBER_IDS.map(id =>
      readListeningAddress(
        start([
          programs.standIn,
          'database',
          ...addressOptions,
          '--id',
          id,
          ...capacityOptions,
        ]),
      ),
    ),
  );
  const [callers = '', peers, operators = ''] = await findFreeAddresses(3);
  const settingsFile = join(directory, 'proxy.yaml');
  writeFileSync(
    settingsFile,
    JSON.stringify({
      format: 1,
      proxy: 'bench-proxy',
      dataCentre: DATA_CENTRE,
      addresses: {callers, peers, operators},
      platform: {addresses: [platform]},
      operatorToken: OPERATOR_TOKEN,
    }),
  );
  const proxyChild = start([
    ...proxyFlags,
    programs.proxy,
    'proxy',
    '--settings',
    settingsFile,
  ]);
  proxyChild.stdout?.resume();
  const generator = fork(programs.loadGenerator, {execArgv: []});
  children.unshift(generator);

  const operatorClient = createHttpClient({
    address: operators,
    token: OPERATOR_TOKEN,
    timeout: REQUEST_TIMEOUT_MS,
  });
  const callerClient = createHttpClient({
    address: callers,
    timeout: REQUEST_TIMEOUT_MS,
  });
  await waitUntil('the manifest commit', async () => {
    const committed = await operatorClient.request(manifestCommit, {
      body: createManifest(databases),
      fileName: 'bench.yaml',
      expectedVersion: 0,
      commitId: 'bench-1',
      committedBy: 'bench',
    });
    return committed.ok;
  });
  await waitUntil('a replica to serve a read', async () => {
    const statement = {text: 'get ?', parameters: ['warm']};
    const answer = await callerClient.request(callerRead, {
      group: GROUP,
      token: '',
      statement,
    });
    return answer.ok && answer.val.servedBy.role === 'replica';
  });

  return {
    proxy: callers,
    databases,
    run: async plan =>
      (await requestReport(generator, {order: 'run', plan}, 'result')).result,
    openIdleConnections: async connections =>
      (
        await requestReport(
          generator,
          {order: 'hold', address: callers, connections},
          'held',
        )
      ).connections,
    async closeIdleConnections() {
      await requestReport(generator, {order: 'release'}, 'released');
    },
    proxyMemoryMegabytes() {
      const status = readFileSync(`/proc/${proxyChild.pid}/status`, 'utf8');
      const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
      return (kibibytes * BYTES_PER_KIBIBYTE) / BYTES_PER_MEGABYTE;
    },
    proxyProcessorTime() {
      const stat = readFileSync(`/proc/${proxyChild.pid}/stat`, 'utf8');
      const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
      const ticks =
        Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
      return ticks * MILLISECONDS_PER_TICK;
    },
    end,
  };
}
