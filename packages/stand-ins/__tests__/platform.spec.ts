import {createHttpPlatformClient} from '@kelpstep/platform';
import type {ListedInstance} from '@kelpstep/protocol';
import {
  Future,
  createRandom,
  createRealTimer,
  createVirtualTimer,
  promiseFromFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  PlatformServer,
  createInProcessPlatformClient,
  createPlatform,
  digestOfObject,
  startPlatformServer,
} from '..';

const INSTANCE: ListedInstance = {
  id: 'proxy-1',
  role: 'proxy',
  address: '10.0.0.1:7000',
  dataCentre: 'Lima',
  state: 'live',
};

function createClient() {
  const timer = createVirtualTimer();
  const platform = createPlatform(timer);
  platform.configure({latency: 10});
  let reachable = true;
  const client = createInProcessPlatformClient({
    platform,
    timer,
    isReachable: () => reachable,
  });

  /** Waits for a call; returns its result or failure name and its duration. */
  function outcome(reply: Future<{ok: boolean; val: unknown}>) {
    const start = timer.now();
    const results: unknown[] = [];
    reply.onSettled(({ok, val}) =>
      results.push(ok ? val : (val as {name: string}).name),
    );
    timer.runUntil(() => results.length > 0, 10_000);
    return {value: results[0], took: timer.now() - start};
  }

  function setReachable(value: boolean): void {
    reachable = value;
  }

  return {timer, platform, client, outcome, setReachable};
}

describe('the platform in virtual time', () => {
  test('writes a row only at its expected version', () => {
    const {client, outcome} = createClient();
    const first = outcome(client.writeRow('t', 'k', 0, {a: 1}));
    expect(first).toEqual({value: 1, took: 10});
    expect(outcome(client.writeRow('t', 'k', 0, 'late')).value).toEqual(
      'VERSION_CONFLICT',
    );
    expect(outcome(client.readRow('t', 'k')).value).toEqual({
      version: 1,
      value: {a: 1},
    });
    expect(outcome(client.readRow('t', 'none')).value).toEqual({
      version: 0,
      value: null,
    });
  });

  test('lists rows in key order, one page at a time', () => {
    const {client, outcome} = createClient();
    for (const key of ['c', 'a', 'b']) {
      outcome(client.writeRow('t', key, 0, key));
    }
    expect(outcome(client.listRows('t', 'a', 1)).value).toEqual([
      {key: 'b', version: 1, value: 'b'},
    ]);
  });

  test('stores objects by digest', () => {
    const {client, outcome} = createClient();
    const digest = digestOfObject('text');
    expect(outcome(client.getObject(digest)).value).toEqual('OBJECT_MISSING');
    outcome(client.putObject(digest, 'text'));
    expect(outcome(client.getObject(digest)).value).toEqual('text');
    expect(outcome(client.putObject(digest, 'other')).value).toEqual(
      'INVALID_PARAMETERS',
    );
  });

  test('drops an answer after the call has taken effect', () => {
    const {client, outcome, platform} = createClient();
    platform.configure({loseAnswers: {operation: 'writeRow', count: 1}});
    expect(outcome(client.readRow('t', 'k')).value).toEqual({
      version: 0,
      value: null,
    });
    expect(outcome(client.writeRow('t', 'k', 0, 'x'))).toEqual({
      value: 'PLATFORM_UNAVAILABLE',
      took: 1000,
    });
    expect(outcome(client.readRow('t', 'k')).value).toEqual({
      version: 1,
      value: 'x',
    });
  });

  test('can be unavailable, unresponsive, slow or unreachable', () => {
    const {client, outcome, platform, setReachable} = createClient();
    const unavailable = 'PLATFORM_UNAVAILABLE';
    platform.configure({outage: 'unavailable'});
    const out = outcome(client.writeRow('t', 'k', 0, 'x'));
    expect(out).toEqual({value: unavailable, took: 10});
    platform.configure({outage: 'silent'});
    const silent = outcome(client.writeRow('t', 'k', 0, 'x'));
    expect(silent).toEqual({value: unavailable, took: 1000});
    platform.configure({outage: 'none', slowness: 300});
    expect(outcome(client.readRow('t', 'k'))).toEqual({
      value: {version: 0, value: null},
      took: 310,
    });
    setReachable(false);
    expect(outcome(client.readRow('t', 'k'))).toEqual({
      value: unavailable,
      took: 1000,
    });
  });

  test('lists instances with a lag', () => {
    const {client, outcome, platform, timer} = createClient();
    platform.configure({listingLag: 500});
    platform.setInstances([INSTANCE]);
    expect(outcome(client.listInstances()).value).toEqual([]);
    timer.advance(500);
    expect(outcome(client.listInstances()).value).toEqual([INSTANCE]);
  });
});

/** Runs a test against a platform over HTTP. */
async function withServer(
  body: (
    request: (
      method: string,
      path: string,
      content?: unknown,
    ) => Promise<{status: number; text: string}>,
    server: PlatformServer,
  ) => Promise<void>,
): Promise<void> {
  const server = await startPlatformServer({address: '127.0.0.1:0'});
  async function request(method: string, path: string, content?: unknown) {
    const text =
      typeof content === 'string' ? content : JSON.stringify(content);
    const url = `http://${server.address}${path}`;
    const response = await fetch(url, {method, body: text});
    return {status: response.status, text: await response.text()};
  }
  try {
    await body(request, server);
  } finally {
    await server.stop();
  }
}

describe('the platform over HTTP', () => {
  test('serves rows, objects and instances', () =>
    withServer(async request => {
      const row = '/tables/t/rows/a%2Fb';
      expect(await request('GET', row)).toEqual({
        status: 200,
        text: '{"version":0,"value":null}',
      });
      const change = {expectedVersion: 0, value: [1]};
      expect(await request('PUT', row, change)).toEqual({
        status: 200,
        text: '{"version":1}',
      });
      expect(await request('PUT', row, change)).toEqual({
        status: 409,
        text: '{"version":1}',
      });
      expect(await request('GET', '/tables/t/rows?after=a&limit=5')).toEqual({
        status: 200,
        text: '{"rows":[{"key":"a/b","version":1,"value":[1]}]}',
      });
      const object = `/objects/${digestOfObject('täxt')}`;
      expect((await request('GET', object)).status).toEqual(404);
      expect((await request('PUT', object, 'text')).status).toEqual(400);
      expect((await request('PUT', object, 'täxt')).status).toEqual(204);
      expect((await request('GET', object)).text).toEqual('täxt');
      await request('POST', '/instances', {instances: [INSTANCE]});
      const listed = await request('GET', '/instances');
      expect(JSON.parse(listed.text)).toEqual({instances: [INSTANCE]});
    }));

  test('works with the HTTP client of the platform', () =>
    withServer(async (unusedRequest, {address, platform}) => {
      platform.setInstances([INSTANCE]);
      const client = createHttpPlatformClient({
        addresses: [address],
        timer: createRealTimer(),
        random: createRandom(1),
      });
      const digest = digestOfObject('text');
      const replies = [
        await promiseFromFuture(client.writeRow('t', 'a/b', 0, 'x')),
        await promiseFromFuture(client.writeRow('t', 'a/b', 0, 'x')),
        await promiseFromFuture(client.readRow('t', 'a/b')),
        await promiseFromFuture(client.listRows('t', '', 5)),
        await promiseFromFuture(client.getObject(digest)),
        await promiseFromFuture(client.putObject(digest, 'text')),
        await promiseFromFuture(client.getObject(digest)),
        await promiseFromFuture(client.listInstances()),
      ];
      client.close();
      expect<unknown[]>(
        replies.map(reply => (reply.ok ? reply.val : reply.val.name)),
      ).toEqual([
        1,
        'VERSION_CONFLICT',
        {version: 1, value: 'x'},
        [{key: 'a/b', version: 1, value: 'x'}],
        'OBJECT_MISSING',
        undefined,
        'text',
        [INSTANCE],
      ]);
    }));

  test('refuses malformed requests', () =>
    withServer(async request => {
      const statuses = [
        await request('PUT', '/tables/t/rows/k', '{"expected'),
        await request('PUT', '/tables/t/rows/k', {expectedVersion: -1}),
        await request('GET', '/tables/t/rows?limit=none'),
        await request('GET', '/tables/t/rows/%zz'),
        await request('POST', '/faults', {outage: 'total'}),
        await request('GET', '/elsewhere'),
        await request('DELETE', '/instances'),
      ].map(answer => answer.status);
      expect(statuses).toEqual([400, 400, 400, 400, 400, 404, 404]);
    }));

  test('injects the same faults', () =>
    withServer(async (request, {platform}) => {
      const row = '/tables/t/rows/k';
      await request('POST', '/faults', {
        loseAnswers: {operation: 'writeRow', count: 1},
      });
      const change = {expectedVersion: 0, value: 'x'};
      await expect(request('PUT', row, change)).toBeRejected();
      expect(platform.readRow('t', 'k').version).toEqual(1);
      await request('POST', '/faults', {outage: 'unavailable'});
      expect((await request('GET', row)).status).toEqual(503);
      await request('POST', '/faults', {outage: 'none', slowness: 30});
      const start = performance.now();
      await request('GET', row);
      expect(performance.now() - start).toBeGreaterThan(25);
    }));
});
