/** HTTP server of the platform stand-in; the README lists its routes. */
import {TimerService, createRealTimer} from '@kelpstep/runtime';
import {Address, parseAddress} from '@kelpstep/rpc';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';

import {Platform, createPlatform} from './platform';
import type {PlatformFaults} from './platform_faults';
import {
  PlatformAnswer,
  PlatformRequest,
  PlatformRoute,
  errorAnswer,
  findRoute,
} from './platform_routes';

/**
 * Listen address, timer and initial faults of a platform server. By default it
 * runs on real time without faults.
 */
export interface PlatformServerOptions {
  /** Listen address; port 0 selects a free port. */
  readonly address: Address;
  readonly timer?: TimerService;
  readonly faults?: Partial<PlatformFaults>;
}

/** A platform server that listens until `stop`; `address` is the bound one. */
export interface PlatformServer {
  readonly address: Address;
  /** The served platform, for tests in the same process. */
  readonly platform: Platform;
  /** Closes the port and all connections. */
  stop(): Promise<void>;
}

/** Maximum size of a request body. */
const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

async function readBody(message: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAXIMUM_BODY_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Decodes the path; `undefined` if its percent-encoding is invalid. */
function decodePath(path: string): string[] | undefined {
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch {
    return undefined;
  }
}

async function readRequest(
  message: IncomingMessage,
): Promise<PlatformRequest | PlatformAnswer> {
  const body = await readBody(message);
  if (body === undefined) {
    return errorAnswer(413, 'The body is too large.');
  }
  const [path = '', query = ''] = (message.url ?? '').split('?', 2);
  const segments = decodePath(path);
  return segments === undefined
    ? errorAnswer(400, 'The path is not well encoded.')
    : {
        method: message.method ?? '',
        segments,
        query: new URLSearchParams(query),
        body,
      };
}

function send(response: ServerResponse, answer: PlatformAnswer): void {
  const {status, json, text} = answer;
  const isText = text !== undefined;
  const content = isText
    ? text
    : json === undefined
      ? ''
      : JSON.stringify(json);
  response.writeHead(status, {
    'content-type': isText ? 'text/plain; charset=utf-8' : 'application/json',
    'content-length': Buffer.byteLength(content),
  });
  response.end(content);
}

/** Starts a server with an empty platform; rejects if it can't listen. */
export async function startPlatformServer(
  options: PlatformServerOptions,
): Promise<PlatformServer> {
  const timer = options.timer ?? createRealTimer();
  const platform = createPlatform(timer);
  platform.configure(options.faults ?? {});

  function sleep(duration: number): Promise<void> {
    return duration > 0
      ? new Promise(resolve => timer.after(duration, () => resolve()))
      : Promise.resolve();
  }

  /** Runs a route with faults; half of the delay comes before the effect. */
  async function serveWithFaults(
    route: PlatformRoute,
    response: ServerResponse,
  ): Promise<void> {
    const {latency, slowness} = platform.faults();
    const travelTime = (latency + slowness) / 2;
    await sleep(travelTime);
    const {outage} = platform.faults();
    if (outage === 'silent') {
      return;
    }
    if (outage === 'unavailable') {
      send(response, errorAnswer(503, 'The platform is out of order.'));
      return;
    }
    const isLost =
      route.operation !== undefined && platform.recordCall(route.operation);
    const answer = route.run();
    await sleep(travelTime);
    if (isLost) {
      response.destroy();
    } else {
      send(response, answer);
    }
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = await readRequest(message);
    if ('status' in request) {
      send(response, request);
      return;
    }
    const route = findRoute(platform, request);
    if (route === undefined) {
      send(response, errorAnswer(404, 'No such path.'));
    } else if (route.operation === undefined) {
      send(response, route.run());
    } else {
      await serveWithFaults(route, response);
    }
  }

  const server = createServer((message, response) => {
    // A client that disconnects while its body is read needs no response.
    serve(message, response).catch(() => response.destroy());
  });
  const address = await listen(server, options.address);
  return {address, platform, stop: () => stopServer(server)};
}

function listen(server: Server, address: Address): Promise<Address> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const bound = server.address();
      const boundPort =
        bound === null || typeof bound === 'string' ? port : bound.port;
      resolve(`${host}:${boundPort}`);
    });
  });
}

function stopServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
