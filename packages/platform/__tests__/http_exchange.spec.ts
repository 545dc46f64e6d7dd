import {
  createDeferred,
  createRealTimer,
  promiseFromFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {type Server, createServer} from 'node:http';
import {
  type AddressInfo,
  type Socket,
  createServer as createTcpServer,
} from 'node:net';
import {afterEach, describe, test} from 'node:test';

import {
  type HttpExchanger,
  type HttpOutcome,
  type HttpRequest,
  createHttpExchanger,
} from '../src/http_exchange';

const CONNECTION_COUNT = 4;
const LONG_TIMEOUT_MS = 2000;
const SHORT_TIMEOUT_MS = 150;
const REQUEST = {method: 'GET', path: '/'} as const;
const SLOW_REQUEST = {method: 'GET', path: '/slow'} as const;
const STOPPING_REQUEST = {method: 'GET', path: '/stopping'} as const;
const CHUNK_INTERVAL_MS = 50;
const CHUNK_COUNT = 8;
const MAXIMUM_PAUSE_MS = 200;

/** A server that can stop responding on its open connections. */
interface StallableServer {
  readonly address: string;
  stallConnections(): void;
  connections(): number;
}

describe('HTTP exchanger', () => {
  const cleanups: Array<() => void> = [];
  afterEach(() => cleanups.splice(0).forEach(close => close()));

  async function startServer(): Promise<StallableServer> {
    const stalled = new Set<Socket>();
    const open = new Set<Socket>();
    let connections = 0;
    const server: Server = createServer((request, response) => {
      if (stalled.has(request.socket)) {
        return;
      }
      if (request.url === REQUEST.path) {
        response.end('{}');
        return;
      }
      let sent = 0;
      const sending = setInterval(() => {
        sent += 1;
        response.write('x');
        if (sent === CHUNK_COUNT) {
          clearInterval(sending);
          if (request.url === SLOW_REQUEST.path) {
            response.end();
          }
        }
      }, CHUNK_INTERVAL_MS);
      cleanups.push(() => clearInterval(sending));
    });
    server.on('connection', socket => {
      connections += 1;
      open.add(socket);
      socket.on('close', () => open.delete(socket));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    cleanups.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const {port} = server.address() as AddressInfo;
    return {
      address: `127.0.0.1:${port}`,
      stallConnections: () => open.forEach(socket => stalled.add(socket)),
      connections: () => connections,
    };
  }

  function startExchanger(): HttpExchanger {
    const timer = createRealTimer();
    const exchanger = createHttpExchanger({
      timer,
      connections: CONNECTION_COUNT,
      maximumPause: MAXIMUM_PAUSE_MS,
    });
    cleanups.push(exchanger.close);
    return exchanger;
  }

  function sendRequest(
    {exchange}: HttpExchanger,
    {address}: StallableServer,
    timeout: number,
    request: HttpRequest = REQUEST,
  ): Promise<HttpOutcome> {
    return promiseFromFuture(exchange(address, request, timeout));
  }

  test('opens a new connection after one became unresponsive', async () => {
    const server = await startServer();
    const exchanger = startExchanger();
    const initialRequests = Array.from({length: CONNECTION_COUNT}, () =>
      sendRequest(exchanger, server, LONG_TIMEOUT_MS),
    );
    await Promise.all(initialRequests);
    server.stallConnections();
    const first = await sendRequest(exchanger, server, SHORT_TIMEOUT_MS);
    const second = await sendRequest(exchanger, server, SHORT_TIMEOUT_MS);
    expect([first.kind, second.kind]).toEqual(['failed', 'answer']);
  });

  // Guards against orders that arrive after they were given up.
  test('resets the connection of an abandoned request', async () => {
    const server = createTcpServer();
    const reset = new Promise<string>(resolve => {
      server.on('connection', socket => {
        socket.on('error', error => resolve(error.message));
        socket.on('data', () => abandoned.settle(undefined));
      });
    });
    const abandoned = createDeferred<undefined>();
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    cleanups.push(() => server.close());
    const {port} = server.address() as AddressInfo;
    const outcome = await promiseFromFuture(
      startExchanger().exchange(
        `127.0.0.1:${port}`,
        {...REQUEST, abandoned: abandoned.future},
        LONG_TIMEOUT_MS,
      ),
    );
    expect(outcome).toEqual({
      kind: 'failed',
      sent: true,
      message: 'Abandoned.',
    });
    expect(await reset).toEqual('read ECONNRESET');
  });

  test('receives a response that takes longer than the timeout', async () => {
    const server = await startServer();
    const outcome = await sendRequest(
      startExchanger(),
      server,
      SHORT_TIMEOUT_MS,
      SLOW_REQUEST,
    );
    expect(outcome.kind === 'answer' && outcome.body.length).toEqual(
      CHUNK_COUNT,
    );
  });

  test('gives up a response that stops arriving', async () => {
    const server = await startServer();
    const outcome = await sendRequest(
      startExchanger(),
      server,
      SHORT_TIMEOUT_MS,
      STOPPING_REQUEST,
    );
    expect(outcome.kind).toEqual('failed');
  });

  test('reuses a responsive connection', async () => {
    const server = await startServer();
    const exchanger = startExchanger();
    for (let count = 0; count < 2 * CONNECTION_COUNT; count++) {
      await sendRequest(exchanger, server, LONG_TIMEOUT_MS);
    }
    expect(server.connections()).toEqual(1);
  });
});
