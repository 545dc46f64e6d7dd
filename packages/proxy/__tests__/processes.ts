/** Stand-ins and proxies as processes of their own, for tests. */
import {createTcpTransport} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** A process that was started here. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** Resolves with the exit code, or null after a signal's death. */
  readonly exited: Promise<number | null>;
}

/** A proxy with its ports. */
export interface ProxyProcess extends StartedProcess {
  readonly callers: string;
  readonly operators: string;
}

/** Processes of one test. */
export interface ProcessTable {
  /** Starts a stand-in; gives the address that it listens on. */
  startStandIn(...parameters: string[]): Promise<string>;
  /** Starts proxies that know each other. */
  startProxies(names: string[], platform: string): Promise<ProxyProcess[]>;
  /** Ends all that still run and removes their files. */
  end(): Promise<void>;
}

export const OPERATOR_TOKEN = 'token-of-the-operators';

const CLI = 'packages/cli/src/main.ts';
const STAND_IN = 'packages/stand-ins/src/main.ts';
const ANY_PORT = '127.0.0.1:0';
const POLL_INTERVAL = 20;
const LONGEST_WAIT = 30_000;

/** Repeats an observation until it gives something. */
export async function eventually<T>(
  what: string,
  observe: () => Promise<T | undefined>,
): Promise<T> {
  const end = Date.now() + LONGEST_WAIT;
  while (Date.now() < end) {
    const value = await observe();
    if (value !== undefined) {
      return value;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL));
  }
  throw new Error(`Waited in vain for: ${what}.`);
}

async function freeAddresses(count: number): Promise<string[]> {
  const transport = createTcpTransport();
  const listeners = [];
  for (let index = 0; index < count; index++) {
    const listening = transport.listen(ANY_PORT, () => {});
    listeners.push((await promiseFromFuture(listening)).unwrap());
  }
  listeners.forEach(listener => listener.close());
  return listeners.map(listener => listener.address);
}

async function isServing(operators: string): Promise<true | undefined> {
  try {
    const response = await fetch(`http://${operators}/healthz`);
    return response.ok ? true : undefined;
  } catch {
    return undefined;
  }
}

/** Creates an empty table. */
export function createProcessTable(): ProcessTable {
  const directory = mkdtempSync(join(tmpdir(), 'kelpstep-'));
  const started: StartedProcess[] = [];

  function start(script: string, parameters: readonly string[]) {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', script, ...parameters],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    const exited = once(child, 'exit').then(([code]) => code as number | null);
    const entry = {child, exited};
    started.push(entry);
    return entry;
  }

  async function startStandIn(...parameters: string[]): Promise<string> {
    const {child} = start(STAND_IN, [...parameters, '--address', ANY_PORT]);
    if (child.stdout === null) {
      throw new Error('No output to read the address from.');
    }
    const [line] = await once(createInterface(child.stdout), 'line');
    return JSON.parse(line).address;
  }

  async function startProxies(names: string[], platform: string) {
    const addresses = await freeAddresses(3 * names.length);
    const seeds = names.map((unused, index) => addresses[3 * index + 1]);
    const proxies = names.map((name, index) => {
      const [callers = '', peers, operators = ''] = addresses.slice(3 * index);
      const file = join(directory, `${name}.yaml`);
      const settings = {
        format: 1,
        proxy: name,
        dataCentre: 'lima',
        addresses: {callers, peers, operators},
        platform: {addresses: [platform]},
        seeds: seeds.filter(seed => seed !== peers),
        operatorToken: OPERATOR_TOKEN,
        logLevel: 'error',
      };
      writeFileSync(file, JSON.stringify(settings));
      return {...start(CLI, ['proxy', '--settings', file]), callers, operators};
    });
    for (const {operators} of proxies) {
      await eventually('a proxy that serves', () => isServing(operators));
    }
    return proxies;
  }

  async function end(): Promise<void> {
    started.forEach(({child}) => child.kill('SIGKILL'));
    await Promise.all(started.map(({exited}) => exited));
    rmSync(directory, {recursive: true});
  }

  return {startStandIn, startProxies, end};
}
