/** The HTTP/1.1 server used for callers and operators. */
import {createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Address, closeWhenQuiet, parseAddress} from '@kelpstep/rpc';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Err, Ok, Result} from 'ts-results';

import {readBody} from './http_body';
import {createConnectionTracker} from './http_connections';
import {
  EncodedResponse,
  JsonRpcDispatcher,
  encodeErrorResponse,
} from './json_rpc_dispatcher';

/** Limits that protect the server from faulty or idle clients. */
export interface HttpLimits {
  /** Maximum size of a body, in bytes. Larger bodies are rejected. */
  readonly maximumBodyBytes: number;
  /** Maximum number of connections. Further ones are closed at once. */
  readonly maximumConnections: number;
  /** Time without a request after which a connection is closed. */
  readonly keepAliveTimeout: Milliseconds;
  /** Maximum time from the first byte of a request to its last. */
  readonly requestTimeout: Milliseconds;
}

/** A response to a plain HTTP request. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Handles `GET` requests of a path. */
export type PlainRoute = () => PlainResponse;

/** Address, limits and request handlers of an HTTP server. */
export interface HttpServerOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
  /** Handles `POST /` and `POST /rpc`. */
  readonly dispatch: JsonRpcDispatcher;
  /**
   * Returns whether a JSON-RPC request is allowed, before its body is read. By
   * default all requests are allowed.
   */
  readonly authorize?: (request: IncomingMessage) => boolean;
  readonly plainRoutes?: ReadonlyMap<string, PlainRoute>;
}

/** A listening HTTP server. */
export interface HttpServer {
  readonly address: Address;
  /** Number of requests that have not been answered yet. */
  requestsInFlight(): number;
  connections(): number;
  /** Makes all further responses carry `connection: close`. */
  announceClose(): void;
  /**
   * Stops accepting connections once no more arrive. The future settles once
   * every request in flight is answered and all connections are closed.
   */
  close(): Future<undefined>;
}

const RPC_PATHS = new Set(['/', '/rpc']);
const JSON_TYPE = 'application/json';
const TEXT_TYPE = 'text/plain; charset=utf-8';
const MILLISECONDS_PER_SECOND = 1000;
/**
 * Number of times per request timeout that Node.js checks for requests that
 * exceed it.
 */
const CHECKS_PER_REQUEST_TIMEOUT = 4;

/** Time that unused connections stay open for a first request during close. */
const UNUSED_CONNECTION_GRACE_MS: Milliseconds = 500;

const STATUS = {
  ok: 200,
  unauthorized: 401,
  notFound: 404,
  methodNotAllowed: 405,
  tooLarge: 413,
} as const;

type SendResponse = (
  response: ServerResponse,
  status: number,
  contentType: string,
  encoded: EncodedResponse,
) => void;

function createSendResponse(isClosing: () => boolean): SendResponse {
  return (response, status, contentType, encoded) => {
    const {body} = encoded;
    const headers: Record<string, string | number> = {
      'content-type': contentType,
      'content-length': Buffer.byteLength(body),
    };
    if (encoded.retryAfter !== undefined) {
      headers['retry-after'] = Math.ceil(
        encoded.retryAfter / MILLISECONDS_PER_SECOND,
      );
    }
    if (isClosing()) {
      headers['connection'] = 'close';
    }
    response.writeHead(status, headers);
    // Node.js writes a string together with the headers, a buffer separately.
    response.end(body);
  };
}

function createRequestHandler(
  options: HttpServerOptions,
  send: SendResponse,
): (request: IncomingMessage, response: ServerResponse) => void {
  const {limits, dispatch, authorize, plainRoutes} = options;

  function sendError(
    response: ServerResponse,
    status: number,
    encoded: EncodedResponse,
  ): void {
    send(response, status, JSON_TYPE, encoded);
  }

  function handleRpc(request: IncomingMessage, response: ServerResponse): void {
    readBody(request, limits.maximumBodyBytes, body => {
      if (body === undefined) {
        const failure = createFailure('BODY_TOO_LARGE', {
          message: `A body holds at most ${limits.maximumBodyBytes} bytes.`,
        });
        sendError(response, STATUS.tooLarge, encodeErrorResponse(failure));
        return;
      }
      dispatch(body, encoded => send(response, STATUS.ok, JSON_TYPE, encoded));
    });
  }

  function handlePlain(path: string, response: ServerResponse): boolean {
    const route = plainRoutes?.get(path);
    if (route === undefined) {
      return false;
    }
    const {status, contentType, body} = route();
    send(response, status, contentType, {body});
    return true;
  }

  return (request, response) => {
    const path = request.url ?? '/';
    const isGet = request.method === 'GET';
    if (isGet && handlePlain(path, response)) {
      return;
    }
    if (!RPC_PATHS.has(path)) {
      send(response, STATUS.notFound, TEXT_TYPE, {body: 'Not found.\n'});
    } else if (request.method !== 'POST') {
      const body = 'Send JSON-RPC 2.0 by POST.\n';
      send(response, STATUS.methodNotAllowed, TEXT_TYPE, {body});
    } else if (authorize !== undefined && !authorize(request)) {
      const failure = createFailure('UNAUTHORIZED');
      sendError(response, STATUS.unauthorized, encodeErrorResponse(failure));
    } else {
      handleRpc(request, response);
    }
  };
}

function applyLimits(server: Server, limits: HttpLimits): void {
  server.maxConnections = limits.maximumConnections;
  server.keepAliveTimeout = limits.keepAliveTimeout;
  server.requestTimeout = limits.requestTimeout;
  server.headersTimeout = limits.requestTimeout;
}

/** Starts an HTTP server; fails with the error message if it can't listen. */
export function startHttpServer(
  options: HttpServerOptions,
): Future<Result<HttpServer, string>> {
  const started = createDeferred<Result<HttpServer, string>>();
  const {limits, timer} = options;
  const {host, port} = parseAddress(options.address);
  const closed = createDeferred<undefined>();
  let closing = false;

  const handleRequest = createRequestHandler(
    options,
    createSendResponse(() => closing),
  );
  const server = createServer({
    connectionsCheckingInterval: Math.ceil(
      limits.requestTimeout / CHECKS_PER_REQUEST_TIMEOUT,
    ),
    noDelay: true,
  });
  const connections = createConnectionTracker(server);
  applyLimits(server, limits);
  server.on('request', (request, response) => {
    connections.requestStarted(request, response);
    handleRequest(request, response);
  });

  /**
   * Stops accepting connections. Node.js closes idle connections here, but not
   * connections on which no request, or only a part of one, has arrived. The
   * rest may still be arriving, so these connections are closed after a delay.
   */
  function closePort(): void {
    const cancels = [
      timer.after(UNUSED_CONNECTION_GRACE_MS, connections.closeUnused),
      timer.after(limits.requestTimeout, connections.closeIdle),
    ];
    server.close(() => {
      cancels.forEach(cancel => cancel());
      closed.settle(undefined);
    });
  }

  function close(): Future<undefined> {
    closing = true;
    closeWhenQuiet(server, timer, closePort);
    return closed.future;
  }

  server.once('error', error => started.settle(Err(error.message)));
  server.listen(port, host, () => {
    started.settle(
      Ok({
        address: `${host}:${boundPort(server) ?? port}`,
        requestsInFlight: connections.inFlight,
        connections: connections.size,
        announceClose: () => {
          closing = true;
        },
        close,
      }),
    );
  });
  return started.future;
}

function boundPort(server: Server): number | undefined {
  const bound = server.address();
  return bound === null || typeof bound === 'string' ? undefined : bound.port;
}
