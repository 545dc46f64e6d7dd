/** Starts stand-ins and proxies as child processes on loopback addresses. */
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

import {eventually} from './eventually';

/** A child process. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /**
   * Resolves with the exit code, or with null if a signal ended the process.
   */
  readonly exited: Promise<number | null>;
}

/** A stand-in process with the address on which it listens. */
export interface StandInProcess extends StartedProcess {
  readonly address: string;
}

/**
 * Addresses and settings of a proxy; it can be restarted with the same plan.
 */
export interface ProxyPlan {
  readonly name: string;
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
  /** Path of the settings file. */
  readonly settings: string;
}

/** A proxy process with its addresses. */
export interface ProxyProcess extends StartedProcess, ProxyPlan {}

/** The child processes of one test or measurement. */
export interface ProcessTable {
  /** Returns an unused loopback address, `IP:PORT`. */
  newAddress(): string;
  /**
   * Starts a stand-in at a given or a new address and waits until it listens.
   */
  startStandIn(
    parameters: readonly string[],
    address?: string,
  ): Promise<StandInProcess>;
  /** Writes the settings of proxies; each has the others as seeds. */
  planProxies(names: readonly string[], platform: string): ProxyPlan[];
  /** Starts a proxy and waits until its operator endpoint is healthy. */
  startProxy(plan: ProxyPlan): Promise<ProxyProcess>;
  /** Plans and starts proxies. */
  startProxies(
    names: readonly string[],
    platform: string,
  ): Promise<ProxyProcess[]>;
  /** Kills all processes that are still running and removes their files. */
  end(): Promise<void>;
}

/** Operator token in the settings of planned proxies. */
export const OPERATOR_TOKEN = 'token-of-the-operators';

const CLI_SCRIPT = 'packages/cli/src/main.ts';
const STAND_IN_SCRIPT = 'packages/stand-ins/src/main.ts';
const FIRST_PORT = 7000;
const DATA_CENTRE = 'lima';

let nextPort = FIRST_PORT;

/** Waits until a process has exited; rejects after a minute. */
export function untilExited({child}: StartedProcess): Promise<{
  readonly code: number | null;
  readonly signal: string | null;
}> {
  return eventually(`process ${child.pid} to exit`, async () => {
    const {exitCode: code, signalCode: signal} = child;
    return code === null && signal === null ? undefined : {code, signal};
  });
}

/**
 * A loopback IP derived from the id of this process. Outgoing connections use
 * 127.0.0.1, so they cannot occupy a port on which a restarted process has to
 * listen again.
 */
function processHost(): string {
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
    return `${processHost()}:${nextPort++}`;
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
    const entry = start(STAND_IN_SCRIPT, [...parameters, '--address', address]);
    if (entry.child.stdout === null) {
      throw new Error(`Stand-in for ${address} has no standard output.`);
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
    const entry = start(CLI_SCRIPT, ['proxy', '--settings', plan.settings]);
    await eventually(`${plan.name} to be healthy`, () =>
      isServing(plan.operators),
    );
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
