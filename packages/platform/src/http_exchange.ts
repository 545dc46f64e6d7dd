/** One HTTP exchange with the platform, through the HTTP client of Node.js. */
import {parseAddress} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Agent, type IncomingMessage, request} from 'node:http';

/** A request of the platform's interface. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly body?: string;
  readonly contentType?: string;
  /** Further headers. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer, or why there is none. */
export type HttpOutcome =
  | {readonly kind: 'answer'; readonly status: number; readonly body: string}
  | {
      readonly kind: 'failed';
      /** False if the request certainly did not leave. */
      readonly sent: boolean;
      readonly message: string;
    };

/** Sends a request to `ip:port`; settles within the timeout. */
export type HttpExchange = (
  address: string,
  request: HttpRequest,
  timeout: Milliseconds,
) => Future<HttpOutcome>;

/** An exchange with the connections that it keeps. */
export interface HttpExchanger {
  readonly exchange: HttpExchange;
  /** Ends all connections. */
  close(): void;
}

/** What an exchanger may be told. */
export interface HttpExchangerOptions {
  readonly timer: TimerService;
  /** Connections per address. */
  readonly connections: number;
  /** A larger answer is refused, bytes. */
  readonly maximumAnswerBytes?: number;
}

const DEFAULT_MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/** Errors that come before a request's first byte has left. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Creates an exchanger with keep-alive connections. The client that comes with
 * Node.js is used as it is part of the program's snapshot: others add to each start.
 */
export function createHttpExchanger(
  options: HttpExchangerOptions,
): HttpExchanger {
  const {timer, connections} = options;
  const maximumBytes =
    options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES;
  const agent = new Agent({
    keepAlive: true,
    maxSockets: connections,
    noDelay: true,
  });

  /** Closes idle connections: they may have fallen silent with another one. */
  function closeIdle(address: string): void {
    const idle = agent.freeSockets[agent.getName(parseAddress(address))] ?? [];
    [...idle].forEach(socket => socket.destroy());
  }

  function exchange(
    address: string,
    {method, path, body, contentType, headers}: HttpRequest,
    timeout: Milliseconds,
  ): Future<HttpOutcome> {
    const outcome = createDeferred<HttpOutcome>();
    let isConnected = false;

    function fail(message: string, sent: boolean): void {
      cancelTimeout();
      outcome.settle({kind: 'failed', sent, message});
      call.destroy();
    }

    function read(answer: IncomingMessage): void {
      const chunks: Buffer[] = [];
      let size = 0;
      answer.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size > maximumBytes) {
          fail(`Answer of over ${maximumBytes} bytes.`, true);
        }
      });
      answer.on('error', error => fail(String(error), true));
      answer.on('end', () => {
        cancelTimeout();
        const text = Buffer.concat(chunks).toString('utf8');
        const status = answer.statusCode ?? 0;
        outcome.settle({kind: 'answer', status, body: text});
      });
    }

    const cancelTimeout = timer.after(timeout, () => {
      fail(`No answer of ${address} in ${timeout} ms.`, isConnected);
      closeIdle(address);
    });
    const call = request({
      agent,
      method,
      path,
      ...parseAddress(address),
      headers: {
        ...headers,
        ...(contentType === undefined ? {} : {'content-type': contentType}),
        ...(body === undefined
          ? {}
          : {'content-length': Buffer.byteLength(body)}),
      },
    });
    call.on('socket', socket => {
      isConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once('connect', () => {
          isConnected = true;
        });
      }
    });
    call.on('response', read);
    call.on('error', (error: NodeJS.ErrnoException) => {
      const isUnsent = !isConnected && NOT_SENT_CODES.has(error.code ?? '');
      fail(String(error), !isUnsent);
    });
    call.end(body);
    return outcome.future;
  }

  return {exchange, close: () => agent.destroy()};
}
