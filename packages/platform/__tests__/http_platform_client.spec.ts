import {
  createRandom,
  createRealTimer,
  createVirtualTimer,
  promiseFromFuture,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {createServer, type RequestListener, type Server} from 'node:http';
import {describe, test} from 'node:test';

import {HttpOutcome, createHttpPlatformClient} from '..';

const REFUSED: HttpOutcome = {kind: 'failed', sent: false, message: 'refused'};
const NO_RESPONSE: HttpOutcome = {
  kind: 'failed',
  sent: true,
  message: 'timeout',
};

function createResponse(status: number, body: unknown = {}): HttpOutcome {
  return {kind: 'answer', status, body: JSON.stringify(body), headers: {}};
}

/**
 * Creates a client whose requests have the given outcomes, and records the
 * addresses to which it sends them.
 */
function createScriptedClient(outcomes: HttpOutcome[]) {
  const asked: string[] = [];
  const client = createHttpPlatformClient({
    addresses: ['a', 'b'],
    timer: createVirtualTimer(),
    random: createRandom(1),
    exchange: address => {
      asked.push(address);
      return settledFuture(outcomes.shift() ?? REFUSED);
    },
  });
  return {client, asked};
}

async function writeThrough(outcomes: HttpOutcome[]) {
  const {client, asked} = createScriptedClient(outcomes);
  const result = await promiseFromFuture(client.writeRow('t', 'k', 0, 1));
  return {
    asked: asked.length,
    version: result.ok ? result.val : undefined,
    failure: result.err ? result.val.name : undefined,
    outcome: result.err ? result.val.outcome : undefined,
  };
}

function listen(listener: RequestListener): Promise<[Server, string]> {
  const server = createServer(listener);
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' ? address?.port : undefined;
      resolve([server, `127.0.0.1:${port}`]);
    });
  });
}

describe('HTTP platform client', () => {
  test('tries the next address for a write that was not sent', async () => {
    const written = await writeThrough([
      REFUSED,
      createResponse(200, {version: 1}),
    ]);
    expect(written.version).toEqual(1);
    const unsent = await writeThrough([REFUSED, REFUSED]);
    expect([unsent.failure, unsent.outcome]).toEqual([
      'PLATFORM_UNAVAILABLE',
      'not_run',
    ]);
  });

  test('never repeats a write that may have taken effect', async () => {
    for (const lost of [
      NO_RESPONSE,
      createResponse(503),
      createResponse(200, {odd: 1}),
    ]) {
      const written = await writeThrough([
        lost,
        createResponse(200, {version: 1}),
      ]);
      expect([written.asked, written.outcome]).toEqual([1, 'unknown']);
    }
  });

  test('reports a conflict and a missing object by failure name', async () => {
    expect((await writeThrough([createResponse(409)])).failure).toEqual(
      'VERSION_CONFLICT',
    );
    const {client} = createScriptedClient([createResponse(404)]);
    const missing = await promiseFromFuture(client.getObject('d'));
    expect(missing.err && missing.val.name).toEqual('OBJECT_MISSING');
  });

  test('repeats idempotent calls and reports an unknown outcome for a lost put', async () => {
    const read = createScriptedClient([
      NO_RESPONSE,
      createResponse(200, {rows: []}),
    ]);
    const rows = await promiseFromFuture(read.client.listRows('t', '', 5));
    expect(rows.unwrap()).toEqual([]);
    const {client, asked} = createScriptedClient([NO_RESPONSE, REFUSED]);
    const put = await promiseFromFuture(client.putObject('d', 'body'));
    expect(put.err && put.val.outcome).toEqual('unknown');
    expect([...asked].sort()).toEqual(['a', 'b']);
  });

  test('sends requests over HTTP and times out', async () => {
    const seen: string[] = [];
    // Virtual time advances only here, so that a slow machine causes no
    // timeout.
    const timer = createVirtualTimer();
    const [server, address] = await listen((request, response) => {
      seen.push(`${request.method} ${request.url}`);
      if (request.url === '/instances') {
        timer.advance(100); // Reaches the timeout of the client.
        return;
      }
      response.end(JSON.stringify({version: 3, value: {a: 1}}));
    });
    const client = createHttpPlatformClient({
      addresses: [address],
      timer,
      random: createRandom(1),
      requestTimeout: 100,
    });
    const row = await promiseFromFuture(client.readRow('a b', 'k/1'));
    const version = await promiseFromFuture(client.writeRow('t', 'k', 2, {}));
    const timedOutCall = await promiseFromFuture(client.listInstances());
    client.close();
    server.closeAllConnections();
    server.close();
    expect(row.unwrap()).toEqual({version: 3, value: {a: 1}});
    expect(version.unwrap()).toEqual(3);
    expect(timedOutCall.err && timedOutCall.val.name).toEqual(
      'PLATFORM_UNAVAILABLE',
    );
    expect(seen).toEqual([
      'GET /tables/a%20b/rows/k%2F1',
      'PUT /tables/t/rows/k',
      'GET /instances',
    ]);
  });

  test('reports a write to a closed port as not run', async () => {
    const [server, address] = await listen(() => {});
    await new Promise(resolve => server.close(resolve));
    const client = createHttpPlatformClient({
      addresses: [address],
      timer: createRealTimer(),
      random: createRandom(1),
    });
    const result = await promiseFromFuture(client.writeRow('t', 'k', 0, 1));
    client.close();
    expect(result.err && result.val.outcome).toEqual('not_run');
  });
});
