import {createRealTimer, promiseFromFuture} from '@kelpstep/runtime';
import {expect} from 'earl';
import {type Server, createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, test} from 'node:test';

import {
  type HttpExchanger,
  type HttpOutcome,
  createHttpExchanger,
} from '../src/http_exchange';

const CONNECTIONS = 4;
const PATIENT = 2000;
const IMPATIENT = 150;
const QUESTION = {method: 'GET', path: '/'} as const;

/** A server whose connections can be made to deliver nothing any more. */
interface SilenceableServer {
  readonly address: string;
  silenceConnections(): void;
  connections(): number;
}

describe('an HTTP exchanger', () => {
  const closing: Array<() => void> = [];
  afterEach(() => closing.splice(0).forEach(close => close()));

  async function startServer(): Promise<SilenceableServer> {
    const silent = new Set<Socket>();
    const open = new Set<Socket>();
    let connections = 0;
    const server: Server = createServer((request, response) => {
      if (!silent.has(request.socket)) {
        response.end('{}');
      }
    });
    server.on('connection', socket => {
      connections += 1;
      open.add(socket);
      socket.on('close', () => open.delete(socket));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    closing.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const {port} = server.address() as AddressInfo;
    return {
      address: `127.0.0.1:${port}`,
      silenceConnections: () => open.forEach(socket => silent.add(socket)),
      connections: () => connections,
    };
  }

  function startExchanger(): HttpExchanger {
    const timer = createRealTimer();
    const exchanger = createHttpExchanger({timer, connections: CONNECTIONS});
    closing.push(exchanger.close);
    return exchanger;
  }

  function ask(
    {exchange}: HttpExchanger,
    {address}: SilenceableServer,
    timeout: number,
  ): Promise<HttpOutcome> {
    return promiseFromFuture(exchange(address, QUESTION, timeout));
  }

  test('asks on a new connection after one that fell silent', async () => {
    const server = await startServer();
    const exchanger = startExchanger();
    const kept = Array.from({length: CONNECTIONS}, () =>
      ask(exchanger, server, PATIENT),
    );
    await Promise.all(kept);
    server.silenceConnections();
    const first = await ask(exchanger, server, IMPATIENT);
    const second = await ask(exchanger, server, IMPATIENT);
    expect([first.kind, second.kind]).toEqual(['failed', 'answer']);
  });

  test('keeps connections that answer', async () => {
    const server = await startServer();
    const exchanger = startExchanger();
    for (let count = 0; count < 2 * CONNECTIONS; count++) {
      await ask(exchanger, server, PATIENT);
    }
    expect(server.connections()).toEqual(1);
  });
});
