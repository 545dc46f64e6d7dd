import {createHttpClient, type HttpClient} from '@kelpstep/cli';
import {
  CALLER_METHODS,
  Failure,
  Method,
  ParametersOf,
} from '@kelpstep/protocol';
import {parseAddress} from '@kelpstep/rpc';
import {expect} from 'earl';
import {once} from 'node:events';
import {connect} from 'node:net';
import {after, before, describe, test} from 'node:test';
import type {Result} from 'ts-results';

import {manifestCommit, proxyStatus} from '..';
import {
  OPERATOR_TOKEN,
  ProxyProcess,
  createProcessTable,
  eventually,
} from '@kelpstep/scenarios';

const GROUP = 'logbook';
const MEMBERS = ['logbook-1', 'logbook-2', 'logbook-3'];
const LAG_MS = '30';
const TIMEOUT_MS = 10_000;
const IDLE_CONNECTION_COUNT = 10_000;
const READER_COUNT = 8;
const {read, write, begin, commit} = CALLER_METHODS;

function manifestOf(addresses: readonly string[], readStaleness: number) {
  return JSON.stringify({
    format: 1,
    service: 'logbook',
    dataCentres: ['lima'],
    groups: [
      {
        name: GROUP,
        readStaleness,
        members: MEMBERS.map((id, index) => ({
          id,
          dataCentre: 'lima',
          address: addresses[index],
          slots: 5,
          connectionLimit: 55,
        })),
      },
    ],
    kinds: [{name: 'entry', worth: 10, deadline: 5000}],
    stop: {acceptTime: 100, drainTime: 2000},
  });
}

function callerClient({callers: address}: ProxyProcess): HttpClient {
  return createHttpClient({address, timeout: TIMEOUT_MS});
}

function operatorClient({operators: address}: ProxyProcess): HttpClient {
  return createHttpClient({
    address,
    token: OPERATOR_TOKEN,
    timeout: TIMEOUT_MS,
  });
}

/** Retries requests that were not run or may be retried, as callers do. */
function retryUntilOk<T>(
  what: string,
  send: () => Promise<Result<T, Failure>>,
) {
  return eventually(what, async () => {
    const reply = await send();
    if (reply.ok) {
      return reply.val;
    }
    if (reply.val.retryAfter === undefined && reply.val.outcome !== 'not_run') {
      throw new Error(`${what}: ${reply.val.name} ${reply.val.message}`);
    }
    return undefined;
  });
}

function send<P, R>(
  proxy: ProxyProcess,
  method: Method<P, R>,
  parameters: P,
): Promise<R> {
  const client = callerClient(proxy);
  return retryUntilOk(method.name, () => client.request(method, parameters));
}

function readFrom(
  proxy: ProxyProcess,
  name: string,
  options: Partial<ParametersOf<typeof read>>,
) {
  const statement = {text: 'get ?', parameters: [name]};
  return send(proxy, read, {group: GROUP, statement, ...options});
}

/** Repeats a read until a replica serves it. */
function readFromReplica(
  proxy: ProxyProcess,
  name: string,
  options: Partial<ParametersOf<typeof read>>,
) {
  return eventually('a replica that serves', async () => {
    const answer = await readFrom(proxy, name, options);
    return answer.servedBy.role === 'replica' ? answer : undefined;
  });
}

function setStatement(name: string, value: string) {
  return {text: 'set ? ?', parameters: [name, value]};
}

async function commitManifest(proxy: ProxyProcess, body: string, from: number) {
  const committed = await operatorClient(proxy).request(manifestCommit, {
    body,
    fileName: 'logbook.yaml',
    expectedVersion: from,
    commitId: `commit-${from + 1}`,
    committedBy: 'ana',
  });
  return committed.unwrap().version;
}

function waitUntilInForce(proxy: ProxyProcess, version: number) {
  return eventually(`version ${version} in force`, async () => {
    const status = await operatorClient(proxy).request(proxyStatus, {});
    const seen = status.ok ? status.val.manifest.version : 0;
    return seen === version ? seen : undefined;
  });
}

describe('proxies, databases and platform as processes', () => {
  const processes = createProcessTable();
  let databases: string[] = [];
  let a: ProxyProcess;
  let b: ProxyProcess;

  before(async () => {
    const platform = await processes.startStandIn(['platform']);
    const standIns = await Promise.all(
      MEMBERS.map(id =>
        processes.startStandIn([
          ...['database', '--id', id],
          ...['--lag', LAG_MS],
        ]),
      ),
    );
    databases = standIns.map(({address}) => address);
    const proxies = await processes.startProxies(
      ['lima-1', 'lima-2'],
      platform.address,
    );
    [a, b] = proxies as [ProxyProcess, ProxyProcess];
    await commitManifest(a, manifestOf(databases, 2000), 0);
    await Promise.all([waitUntilInForce(a, 1), waitUntilInForce(b, 1)]);
  });

  after(() => processes.end());

  test('serve at B, from a replica, what a session wrote at A', async () => {
    const statement = setStatement('flow', '12');
    const written = await send(a, write, {group: GROUP, statement, token: ''});
    const {token} = written;
    const first = await readFrom(b, 'flow', {token});
    const replica = await readFromReplica(b, 'flow', {token});
    expect(first.rows).toEqual([['12']]);
    expect(replica.rows).toEqual([['12']]);
  });

  test('serve a read from a replica within its staleness bound', async () => {
    const answer = await readFromReplica(a, 'flow', {
      token: '',
      maximumAge: 1000,
    });
    expect(answer.age <= 1000).toEqual(true);
  });

  test('continue at B a transaction that began at A', async () => {
    const {transaction, token} = await send(a, begin, {group: GROUP});
    const statement = setStatement('sludge', '3');
    const inside = {group: GROUP, transaction, token};
    await send(b, write, {...inside, statement});
    const own = await readFrom(b, 'sludge', {transaction, token});
    const committed = await send(b, commit, {...inside});
    const seen = await readFrom(a, 'sludge', {token: committed.token});
    expect(own.rows).toEqual([['3']]);
    expect(seen.rows).toEqual([['3']]);
  });

  test('run a write with an idempotency key once when it is sent twice', async () => {
    const request = {
      group: GROUP,
      kind: 'entry',
      statement: {text: 'append ? ?', parameters: ['withdrawals', 40]},
      key: {id: 'withdrawal-1', issuedAt: Date.now()},
      token: '',
    };
    const first = await send(a, write, request);
    const second = await send(b, write, request);
    const statement = {text: 'list ?', parameters: ['withdrawals']};
    const {token} = second;
    const listed = await send(b, read, {group: GROUP, statement, token});
    expect([first.duplicate, second.duplicate]).toEqual([false, true]);
    expect(second.rows).toEqual(first.rows);
    expect(listed.rows).toEqual([[40]]);
  });

  test('put a manifest in force on both proxies and reject a late commit', async () => {
    const body = manifestOf(databases, 3000);
    const late = commitManifest(b, manifestOf(databases, 4000), 0);
    await expect(late).toBeRejected();
    expect(await commitManifest(b, body, 1)).toEqual(2);
    await Promise.all([waitUntilInForce(a, 2), waitUntilInForce(b, 2)]);
  });

  test('serve requests while ten thousand connections are idle', async () => {
    const {host, port} = parseAddress(b.callers);
    const sockets = Array.from({length: IDLE_CONNECTION_COUNT}, () => {
      const socket = connect({host, port});
      socket.on('error', () => {});
      return socket;
    });
    await Promise.all(sockets.map(socket => once(socket, 'connect')));
    const answer = await readFrom(b, 'flow', {});
    sockets.forEach(socket => socket.destroy());
    expect(answer.rows).toEqual([['12']]);
  });

  test('stop with exit code 0 and interrupt no request in flight', async () => {
    const statement = {text: 'get ?', parameters: ['flow']};
    const request = {group: GROUP, statement, maximumAge: 5000};
    const failures: string[] = [];
    let answers = 0;

    /** Switches to the other proxy when the first one is stopping. */
    async function keepReading(): Promise<void> {
      const client = callerClient(a);
      let reply = await client.request(read, request);
      while (reply.ok) {
        answers++;
        reply = await client.request(read, request);
      }
      failures.push(reply.val.name);
      (await callerClient(b).request(read, request)).unwrap();
    }

    const load = Array.from({length: READER_COUNT}, keepReading);
    await eventually(
      'answers',
      async () => answers > READER_COUNT || undefined,
    );
    a.child.kill('SIGTERM');
    const exitCode = await a.exited;
    await Promise.all(load);
    expect(exitCode).toEqual(0);
    expect(failures).toEqual(Array(READER_COUNT).fill('STOPPING'));
  });
});
