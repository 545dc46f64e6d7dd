/** The HTTP/1.1 server under both ports: bodies, time-outs, limits, stopping. */
import {createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Address, parseAddress} from '@kelpstep/rpc';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Err, Ok, Result} from 'ts-results';

import {readBody} from './http_body';
import {createConnectionTable} from './http_connections';
import {
  EncodedAnswer,
  JsonRpcDispatcher,
  encodeFailureAnswer,
} from './json_rpc_dispatcher';

/** Limits that keep odd or idle clients from harming others. */
export interface HttpLimits {
  /** Larger bodies are refused, bytes. */
  readonly maximumBodyBytes: number;
  /** Further connections are closed at once. */
  readonly maximumConnections: number;
  /** A connection without a request for this long is closed. */
  readonly keepAliveTimeout: Milliseconds;
  /** Time for a whole request to arrive, from its first byte. */
  readonly requestTimeout: Milliseconds;
}

/** An answer to a plain HTTP request. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Answers `GET` of one path. */
export type PlainRoute = () => PlainAnswer;

/** What an HTTP server is made of. */
export interface HttpServerOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
  /** Answers `POST /` and `POST /rpc`. */
  readonly dispatch: JsonRpcDispatcher;
  /** Refuses a request before its body is read; by default none. */
  readonly authorize?: (request: IncomingMessage) => boolean;
  readonly plainRoutes?: ReadonlyMap<string, PlainRoute>;
}

/** A listening HTTP server. */
export interface HttpServer {
  readonly address: Address;
  /** Requests without an answer so far. */
  requestsInFlight(): number;
  connections(): number;
  /** Answers from now on tell clients to leave the connection. */
  announceClose(): void;
  /** Stops accepting; settles once every request in flight is answered. */
  close(): Future<undefined>;
}

const RPC_PATHS = new Set(['/', '/rpc']);
const JSON_TYPE = 'application/json';
const TEXT_TYPE = 'text/plain; charset=utf-8';
const MILLISECONDS_PER_SECOND = 1000;
/** How often Node.js looks for requests that take too long to arrive. */
const TIMEOUT_CHECK_SHARE = 4;

/** Time for the first request on a connection once the server closes. */
const UNUSED_CONNECTION_GRACE: Milliseconds = 500;

const STATUS = {
  ok: 200,
  unauthorized: 401,
  notFound: 404,
  methodNotAllowed: 405,
  tooLarge: 413,
} as const;

type Finish = (
  response: ServerResponse,
  status: number,
  contentType: string,
  answer: EncodedAnswer,
) => void;

function createFinish(isClosing: () => boolean): Finish {
  return (response, status, contentType, answer) => {
    const {body} = answer;
    const headers: Record<string, string | number> = {
      'content-type': contentType,
      'content-length': Buffer.byteLength(body),
    };
    if (answer.retryAfter !== undefined) {
      headers['retry-after'] = Math.ceil(
        answer.retryAfter / MILLISECONDS_PER_SECOND,
      );
    }
    if (isClosing()) {
      headers['connection'] = 'close';
    }
    response.writeHead(status, headers);
    // Node.js sends a text in one write with its head, a buffer apart.
    response.end(body);
  };
}

function createListener(
  options: HttpServerOptions,
  finish: Finish,
): (request: IncomingMessage, response: ServerResponse) => void {
  const {limits, dispatch, authorize, plainRoutes} = options;

  function fail(
    response: ServerResponse,
    status: number,
    answer: EncodedAnswer,
  ): void {
    finish(response, status, JSON_TYPE, answer);
  }

  function answerRpc(request: IncomingMessage, response: ServerResponse): void {
    readBody(request, limits.maximumBodyBytes, body => {
      if (body === undefined) {
        const failure = createFailure('BODY_TOO_LARGE', {
          message: `A body holds at most ${limits.maximumBodyBytes} bytes.`,
        });
        fail(response, STATUS.tooLarge, encodeFailureAnswer(failure));
        return;
      }
      dispatch(body, answer => finish(response, STATUS.ok, JSON_TYPE, answer));
    });
  }

  function answerPlain(path: string, response: ServerResponse): boolean {
    const route = plainRoutes?.get(path);
    if (route === undefined) {
      return false;
    }
    const {status, contentType, body} = route();
    finish(response, status, contentType, {body});
    return true;
  }

  return (request, response) => {
    const path = request.url ?? '/';
    const isGet = request.method === 'GET';
    if (isGet && answerPlain(path, response)) {
      return;
    }
    if (!RPC_PATHS.has(path)) {
      finish(response, STATUS.notFound, TEXT_TYPE, {body: 'Not found.\n'});
    } else if (request.method !== 'POST') {
      const body = 'Send JSON-RPC 2.0 by POST.\n';
      finish(response, STATUS.methodNotAllowed, TEXT_TYPE, {body});
    } else if (authorize !== undefined && !authorize(request)) {
      const failure = createFailure('UNAUTHORIZED');
      fail(response, STATUS.unauthorized, encodeFailureAnswer(failure));
    } else {
      answerRpc(request, response);
    }
  };
}

function applyLimits(server: Server, limits: HttpLimits): void {
  server.maxConnections = limits.maximumConnections;
  server.keepAliveTimeout = limits.keepAliveTimeout;
  server.requestTimeout = limits.requestTimeout;
  server.headersTimeout = limits.requestTimeout;
}

/** Starts an HTTP server. */
export function startHttpServer(
  options: HttpServerOptions,
): Future<Result<HttpServer, string>> {
  const started = createDeferred<Result<HttpServer, string>>();
  const {limits, timer} = options;
  const {host, port} = parseAddress(options.address);
  const closed = createDeferred<undefined>();
  let closing = false;

  const answer = createListener(
    options,
    createFinish(() => closing),
  );
  const server = createServer({
    connectionsCheckingInterval: Math.ceil(
      limits.requestTimeout / TIMEOUT_CHECK_SHARE,
    ),
    noDelay: true,
  });
  const connections = createConnectionTable(server);
  applyLimits(server, limits);
  server.on('request', (request, response) => {
    connections.requestStarted(request, response);
    answer(request, response);
  });

  /**
   * Node.js ends idle connections here, but no new or half-used ones: their
   * requests may be on the way, so they get a while.
   */
  function close(): Future<undefined> {
    closing = true;
    const cancels = [
      timer.after(UNUSED_CONNECTION_GRACE, connections.closeUnused),
      timer.after(limits.requestTimeout, connections.closeUnanswered),
    ];
    server.close(() => {
      cancels.forEach(cancel => cancel());
      closed.settle(undefined);
    });
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
