/** The demo's walkthrough: a session on two proxies, and a duplicate write. */
import {CALLER_METHODS, Failure} from '@kelpstep/protocol';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'ts-results';

import type {ConsoleOutput} from '../console_output';
import {DEMO_GROUP, DemoCluster, DemoProxy} from './demo_cluster';

const RETRY_DELAY_MS = 50;
const MAXIMUM_ATTEMPTS = 200;
const PAGE_KEY = 'leave-rules';
const LIST_KEY = 'acknowledged';
const MAXIMUM_AGE_MS = 10_000;

/**
 * Repeats a failed request until it succeeds; throws after the last attempt.
 */
async function requestWithRetries<T>(
  send: () => Promise<Result<T, Failure>>,
): Promise<T> {
  let reply = await send();
  for (let attempt = 1; reply.err && attempt < MAXIMUM_ATTEMPTS; attempt++) {
    await sleep(reply.val.retryAfter ?? RETRY_DELAY_MS);
    reply = await send();
  }
  if (reply.err) {
    throw new Error(`${reply.val.name}: ${reply.val.message}`);
  }
  return reply.val;
}

function readOwnWrite(proxy: DemoProxy, token: string) {
  return requestWithRetries(() =>
    proxy.callers.request(CALLER_METHODS.read, {
      group: DEMO_GROUP,
      kind: 'page-view',
      statement: {text: 'get ?', parameters: [PAGE_KEY]},
      token,
      maximumAge: MAXIMUM_AGE_MS,
    }),
  );
}

/** Repeats the read until a replica serves it or the attempts are used up. */
async function readThroughReplica(proxy: DemoProxy, token: string) {
  let read = await readOwnWrite(proxy, token);
  for (let attempt = 1; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    if (read.servedBy.role === 'replica') {
      break;
    }
    await sleep(RETRY_DELAY_MS);
    read = await readOwnWrite(proxy, token);
  }
  return read;
}

/** Runs the walkthrough and returns the last token of the session. */
export async function runWalkthrough(
  cluster: DemoCluster,
  output: ConsoleOutput,
): Promise<string> {
  const [a, b] = cluster.proxies;
  output.line(
    'Three databases of one group, the platform and two proxies are running.',
  );
  output.line('A manifest was committed and is in force on both proxies.');

  const written = await requestWithRetries(() =>
    a.callers.request(CALLER_METHODS.write, {
      group: DEMO_GROUP,
      statement: {text: 'set ? ?', parameters: [PAGE_KEY, 'revised in spring']},
      key: {id: randomUUID(), issuedAt: Date.now()},
      token: '',
    }),
  );
  output.line(
    `A session writes "${PAGE_KEY}" through proxy ${a.name}: confirmed.`,
  );

  const read = await readThroughReplica(b, written.token);
  const {role, target} = read.servedBy;
  output.line(
    `It continues on proxy ${b.name} and reads ${JSON.stringify(read.rows)} ` +
      `from ${role} ${target}.`,
  );

  const key = {id: randomUUID(), issuedAt: Date.now()};
  const acknowledge = (proxy: DemoProxy) =>
    requestWithRetries(() =>
      proxy.callers.request(CALLER_METHODS.write, {
        group: DEMO_GROUP,
        kind: 'acknowledgement',
        statement: {text: 'append ? ?', parameters: [LIST_KEY, 'employee 7']},
        key,
        token: read.token,
      }),
    );
  const first = await acknowledge(a);
  const second = await acknowledge(b);
  output.line(
    `An acknowledgement is sent twice with one key, to proxy ${a.name} and ` +
      `proxy ${b.name}: duplicate ${first.duplicate}, then ${second.duplicate}.`,
  );

  const listed = await requestWithRetries(() =>
    b.callers.request(CALLER_METHODS.read, {
      group: DEMO_GROUP,
      statement: {text: 'list ?', parameters: [LIST_KEY]},
      token: second.token,
    }),
  );
  output.line(`It was recorded ${listed.rows.length} time(s).`);
  return listed.token;
}
