/** Stand-ins and proxies as processes of their own, on loopback. */
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

import {eventually} from './eventually';

/** A process that was started here. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** Resolves with the exit code, or null after a signal's death. */
  readonly exited: Promise<number | null>;
}

/** A stand-in with the address that it listens on. */
export interface StandInProcess extends StartedProcess {
  readonly address: string;
}

/** A proxy that can be started, again too, at the same addresses. */
export interface ProxyPlan {
  readonly name: string;
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
  /** Path of its settings. */
  readonly settings: string;
}

/** A proxy with its ports. */
export interface ProxyProcess extends StartedProcess, ProxyPlan {}

/** Processes of one test or measurement. */
export interface ProcessTable {
  /** An address that nothing else uses. */
  newAddress(): string;
  /** Starts a stand-in, at a new address unless one is given. */
  startStandIn(
    parameters: readonly string[],
    address?: string,
  ): Promise<StandInProcess>;
  /** Writes the settings of proxies that know each other. */
  planProxies(names: readonly string[], platform: string): ProxyPlan[];
  /** Starts a proxy and waits until it serves operators. */
  startProxy(plan: ProxyPlan): Promise<ProxyProcess>;
  /** Plans and starts proxies. */
  startProxies(
    names: readonly string[],
    platform: string,
  ): Promise<ProxyProcess[]>;
  /** Ends all that still run and removes their files. */
  end(): Promise<void>;
}

/** Token of the operators in the settings of planned proxies. */
export const OPERATOR_TOKEN = 'token-of-the-operators';

const CLI = 'packages/cli/src/main.ts';
const STAND_IN = 'packages/stand-ins/src/main.ts';
const FIRST_PORT = 7000;
const DATA_CENTRE = 'lima';

let nextPort = FIRST_PORT;

/**
 * An IP of the loopback network for this process alone. Outgoing connections
 * use 127.0.0.1, so none of them can take a port that a stopped process will
 * listen on again.
 */
function ownHost(): string {
  const {pid} = process;
  return `127.${1 + ((pid >> 16) & 0x7f)}.${(pid >> 8) & 0xff}.${pid & 0xff}`;
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

  function newAddress(): string {
    return `${ownHost()}:${nextPort++}`;
  }

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

  async function startStandIn(
    parameters: readonly string[],
    address = newAddress(),
  ): Promise<StandInProcess> {
    const entry = start(STAND_IN, [...parameters, '--address', address]);
    if (entry.child.stdout === null) {
      throw new Error('No output that says that it listens.');
    }
    await once(createInterface(entry.child.stdout), 'line');
    return {...entry, address};
  }

  function planProxies(names: readonly string[], platform: string) {
    const addresses = names.map(() => ({
      callers: newAddress(),
      peers: newAddress(),
      operators: newAddress(),
    }));
    return addresses.map((own, index): ProxyPlan => {
      const name = names[index] ?? '';
      const settings = join(directory, `${name}.yaml`);
      const content = {
        format: 1,
        proxy: name,
        dataCentre: DATA_CENTRE,
        addresses: own,
        platform: {addresses: [platform]},
        seeds: addresses.filter(other => other !== own).map(({peers}) => peers),
        operatorToken: OPERATOR_TOKEN,
        logLevel: 'error',
      };
      writeFileSync(settings, JSON.stringify(content));
      return {name, ...own, settings};
    });
  }

  async function startProxy(plan: ProxyPlan): Promise<ProxyProcess> {
    const entry = start(CLI, ['proxy', '--settings', plan.settings]);
    await eventually('a proxy that serves', () => isServing(plan.operators));
    return {...entry, ...plan};
  }

  function startProxies(names: readonly string[], platform: string) {
    return Promise.all(planProxies(names, platform).map(startProxy));
  }

  async function end(): Promise<void> {
    started.forEach(({child}) => child.kill('SIGKILL'));
    await Promise.all(started.map(({exited}) => exited));
    rmSync(directory, {recursive: true});
  }

  return {
    newAddress,
    startStandIn,
    planProxies,
    startProxy,
    startProxies,
    end,
  };
}
