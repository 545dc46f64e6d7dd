/** The demo's story: a session that roams, and a write that is sent twice. */
import {CALLER_METHODS, Failure} from '@kelpstep/protocol';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'ts-results';

import type {ConsoleOutput} from '../console_output';
import {DEMO_GROUP, DemoCluster, DemoProxy} from './demo_cluster';

const RETRY_DELAY = 50;
const ATTEMPTS = 200;
const PAGE = 'leave-rules';
const LIST = 'acknowledged';
const MAXIMUM_AGE = 10_000;

/** Repeats a request that may succeed later, as a caller would. */
async function persist<T>(send: () => Promise<Result<T, Failure>>): Promise<T> {
  let reply = await send();
  for (let attempt = 1; reply.err && attempt < ATTEMPTS; attempt++) {
    await sleep(reply.val.retryAfter ?? RETRY_DELAY);
    reply = await send();
  }
  if (reply.err) {
    throw new Error(`${reply.val.name}: ${reply.val.message}`);
  }
  return reply.val;
}

function readOwnWrite(proxy: DemoProxy, token: string) {
  return persist(() =>
    proxy.callers.request(CALLER_METHODS.read, {
      group: DEMO_GROUP,
      kind: 'page-view',
      statement: {text: 'get ?', parameters: [PAGE]},
      token,
      maximumAge: MAXIMUM_AGE,
    }),
  );
}

/** Reads until a replica that has caught up serves the session. */
async function readThroughReplica(proxy: DemoProxy, token: string) {
  let read = await readOwnWrite(proxy, token);
  for (let attempt = 1; attempt < ATTEMPTS; attempt++) {
    if (read.servedBy.role === 'replica') {
      break;
    }
    await sleep(RETRY_DELAY);
    read = await readOwnWrite(proxy, token);
  }
  return read;
}

/** Tells the story; gives the session's last token. */
export async function tellStory(
  cluster: DemoCluster,
  output: ConsoleOutput,
): Promise<string> {
  const [a, b] = cluster.proxies;
  output.line(
    'Three databases of one group, the platform and two proxies run.',
  );
  output.line('A manifest was committed and is in force on both proxies.');

  const written = await persist(() =>
    a.callers.request(CALLER_METHODS.write, {
      group: DEMO_GROUP,
      statement: {text: 'set ? ?', parameters: [PAGE, 'revised in spring']},
      key: {id: randomUUID(), issuedAt: Date.now()},
      token: '',
    }),
  );
  output.line(`A session writes "${PAGE}" at proxy ${a.name}: confirmed.`);

  const read = await readThroughReplica(b, written.token);
  const {role, target} = read.servedBy;
  output.line(
    `It roams to proxy ${b.name} and reads ${JSON.stringify(read.rows)} ` +
      `from ${role} ${target}.`,
  );

  const key = {id: randomUUID(), issuedAt: Date.now()};
  const acknowledge = (proxy: DemoProxy) =>
    persist(() =>
      proxy.callers.request(CALLER_METHODS.write, {
        group: DEMO_GROUP,
        kind: 'acknowledgement',
        statement: {text: 'append ? ?', parameters: [LIST, 'employee 7']},
        key,
        token: read.token,
      }),
    );
  const first = await acknowledge(a);
  const second = await acknowledge(b);
  output.line(
    `An acknowledgement is sent twice with one key, to ${a.name} and ` +
      `${b.name}: duplicate ${first.duplicate}, then ${second.duplicate}.`,
  );

  const listed = await persist(() =>
    b.callers.request(CALLER_METHODS.read, {
      group: DEMO_GROUP,
      statement: {text: 'list ?', parameters: [LIST]},
      token: second.token,
    }),
  );
  output.line(`It was recorded ${listed.rows.length} time(s).`);
  return listed.token;
}
