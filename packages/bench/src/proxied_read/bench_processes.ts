/** The processes of the bench: platform, databases, one proxy, a generator. */
import {manifestCommit} from '@kelpstep/proxy';
import {createHttpClient} from '@kelpstep/cli';
import {callerRead} from '@kelpstep/protocol';
import {freeAddresses} from '@kelpstep/stand-ins';
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

/** Processes that run. */
export interface BenchProcesses {
  /** Callers' address of the proxy. */
  readonly proxy: string;
  /** Addresses of the databases. */
  readonly databases: readonly string[];
  run(plan: LoadPlan): Promise<LoadResult>;
  /** Opens idle connections to the proxy; gives how many stay open. */
  holdIdle(connections: number): Promise<number>;
  releaseIdle(): Promise<void>;
  /** Resident memory of the proxy, megabytes of 10^6 bytes. */
  proxyMemory(): number;
  /** Processor time that the proxy took so far, milliseconds. */
  proxyProcessorTime(): number;
  end(): Promise<void>;
}

export const GROUP = 'bench';
const MEMBERS = ['bench-1', 'bench-2', 'bench-3'];
const DATA_CENTRE = 'here';
const OPERATOR_TOKEN = 'token-of-the-bench';
const ANY_PORT = '127.0.0.1:0';
const TIMEOUT = 10_000;
const LONGEST_WAIT = 30_000;
const POLL_INTERVAL = 50;
/** Slots and connections that never are what limits. */
const PLENTY = 200;
const BYTES_PER_KIBIBYTE = 1024;
/** Fields after the program's name in `/proc/PID/stat`. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;
const MILLISECONDS_PER_TICK = 10;
const BYTES_PER_MEGABYTE = 1_000_000;

async function until(
  what: string,
  observe: () => Promise<boolean>,
): Promise<void> {
  const end = Date.now() + LONGEST_WAIT;
  while (!(await observe())) {
    if (Date.now() > end) {
      throw new Error(`Waited in vain for ${what}.`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL));
  }
}

function manifestOf(databases: readonly string[]): string {
  return JSON.stringify({
    format: 1,
    service: 'bench',
    dataCentres: [DATA_CENTRE],
    groups: [
      {
        name: GROUP,
        readStaleness: 60_000,
        members: MEMBERS.map((id, index) => ({
          id,
          dataCentre: DATA_CENTRE,
          address: databases[index],
          slots: PLENTY,
          connectionLimit: 2 * PLENTY,
        })),
      },
    ],
    kinds: [{name: 'view', worth: 1, deadline: 5000}],
    stop: {acceptTime: 100, drainTime: 1000},
  });
}

async function listeningAddress(child: ChildProcess): Promise<string> {
  if (child.stdout === null) {
    throw new Error('No output to read the address from.');
  }
  const [line] = await once(createInterface(child.stdout), 'line');
  return JSON.parse(String(line)).address;
}

async function awaitReport<R extends GeneratorReport['report']>(
  generator: ChildProcess,
  order: GeneratorOrder,
  kind: R,
): Promise<Extract<GeneratorReport, {report: R}>> {
  const message = once(generator, 'message');
  generator.send(order);
  const [report] = (await message) as [GeneratorReport];
  if (report.report !== kind) {
    throw new Error(`Got ${report.report} in place of ${kind}.`);
  }
  return report as Extract<GeneratorReport, {report: R}>;
}

/** Starts all; `proxyFlags` go to the proxy's Node.js, as for profiles. */
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

  /** The proxy ends by a signal that lets it write its profile. */
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
  const any = ['--address', ANY_PORT];
  const platform = await listeningAddress(
    start([programs.standIn, 'platform', ...any]),
  );
  const plenty = [
    '--slots',
    `${PLENTY}`,
    '--connection-limit',
    `${2 * PLENTY}`,
  ];
  const databases = await Promise.all(
    MEMBERS.map(id =>
      listeningAddress(
        start([programs.standIn, 'database', ...any, '--id', id, ...plenty]),
      ),
    ),
  );
  const [callers = '', peers, operators = ''] = await freeAddresses(3);
  const settings = join(directory, 'proxy.yaml');
  writeFileSync(
    settings,
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
    settings,
  ]);
  proxyChild.stdout?.resume();
  const generator = fork(programs.loadGenerator, {execArgv: []});
  children.unshift(generator);

  const operatorClient = createHttpClient({
    address: operators,
    token: OPERATOR_TOKEN,
    timeout: TIMEOUT,
  });
  const callerClient = createHttpClient({address: callers, timeout: TIMEOUT});
  await until('the manifest', async () => {
    const committed = await operatorClient.request(manifestCommit, {
      body: manifestOf(databases),
      fileName: 'bench.yaml',
      expectedVersion: 0,
      commitId: 'bench-1',
      committedBy: 'bench',
    });
    return committed.ok;
  });
  await until('a replica that serves', async () => {
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
      (await awaitReport(generator, {order: 'run', plan}, 'result')).result,
    holdIdle: async connections =>
      (
        await awaitReport(
          generator,
          {order: 'hold', address: callers, connections},
          'held',
        )
      ).connections,
    async releaseIdle() {
      await awaitReport(generator, {order: 'release'}, 'released');
    },
    proxyMemory() {
      const status = readFileSync(`/proc/${proxyChild.pid}/status`, 'utf8');
      const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
      return (kibibytes * BYTES_PER_KIBIBYTE) / BYTES_PER_MEGABYTE;
    },
    proxyProcessorTime() {
      const stat = readFileSync(`/proc/${proxyChild.pid}/stat`, 'utf8');
      const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
      const ticks = Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME]);
      return ticks * MILLISECONDS_PER_TICK;
    },
    end,
  };
}
