/** HTTP requests to the platform, sent through the HTTP client of Node.js. */
import {parseAddress} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {
  Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';

/** A request to the platform. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly body?: string;
  readonly contentType?: string;
  /** Headers besides `content-type` and `content-length`. */
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Settles once the request must not arrive any more. Its connection is then
   * reset, which discards data that a network partition holds back.
   */
  readonly abandoned?: Future<undefined>;
}

/** A response of the platform. */
export interface HttpResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly body: string;
  /** Headers by lower-case name. */
  readonly headers: Readonly<IncomingHttpHeaders>;
}

/** A response, or the reason why there is none. */
export type HttpOutcome =
  | HttpResponse
  | {
      readonly kind: 'failed';
      /** False if the request was certainly not sent. */
      readonly sent: boolean;
      readonly message: string;
    };

/**
 * Sends a request to `ip:port`. It fails if the response has not begun within
 * the timeout, or if it stops arriving; a long response may take longer.
 */
export type HttpExchange = (
  address: string,
  request: HttpRequest,
  timeout: Milliseconds,
) => Future<HttpOutcome>;

/** An HTTP client that keeps its connections open between requests. */
export interface HttpExchanger {
  readonly exchange: HttpExchange;
  /** Closes all connections. */
  close(): void;
}

/** Limits of an exchanger, and the timer for its timeouts. */
export interface HttpExchangerOptions {
  readonly timer: TimerService;
  /** Maximum number of connections per address. */
  readonly connections: number;
  /**
   * Maximum size of a response, in bytes; a request with a larger one fails.
   */
  readonly maximumResponseBytes?: number;
  /** Longest pause within a response, after which its request fails. */
  readonly maximumPause?: Milliseconds;
}

const DEFAULT_MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Long enough for a packet that is lost to be sent again. */
const DEFAULT_MAXIMUM_PAUSE_MS: Milliseconds = 1200;

/** Error codes raised before the first byte of a request is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Creates an exchanger with keep-alive connections. It uses the HTTP client
 * that is built into Node.js; a library would add to the time of each start.
 */
export function createHttpExchanger(
  options: HttpExchangerOptions,
): HttpExchanger {
  const {timer, connections} = options;
  const maximumBytes =
    options.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES;
  const maximumPause = options.maximumPause ?? DEFAULT_MAXIMUM_PAUSE_MS;
  const agent = new Agent({
    keepAlive: true,
    maxSockets: connections,
    noDelay: true,
  });

  /**
   * Closes the idle connections to an address at which a request timed out,
   * since they may be as unresponsive.
   */
  function closeIdleConnections(address: string): void {
    const idle = agent.freeSockets[agent.getName(parseAddress(address))] ?? [];
    [...idle].forEach(socket => socket.destroy());
  }

  function exchange(
    address: string,
    {method, path, body, contentType, headers, abandoned}: HttpRequest,
    timeout: Milliseconds,
  ): Future<HttpOutcome> {
    const outcome = createDeferred<HttpOutcome>();
    let isConnected = false;

    function fail(message: string, sent: boolean): void {
      cancelTimeout();
      outcome.settle({kind: 'failed', sent, message});
      clientRequest.destroy();
    }

    function failAfter(delay: Milliseconds, message: string): () => void {
      return timer.after(delay, () => {
        fail(message, isConnected);
        closeIdleConnections(address);
      });
    }

    function expectMore(): void {
      cancelTimeout();
      cancelTimeout = failAfter(
        maximumPause,
        `Answer of ${address} stopped for ${maximumPause} ms.`,
      );
    }

    function readResponse(response: IncomingMessage): void {
      const chunks: Buffer[] = [];
      let size = 0;
      expectMore();
      response.on('data', (chunk: Buffer) => {
        expectMore();
        chunks.push(chunk);
        size += chunk.length;
        if (size > maximumBytes) {
          fail(`Answer of over ${maximumBytes} bytes.`, true);
        }
      });
      response.on('error', error => fail(String(error), true));
      response.on('end', () => {
        cancelTimeout();
        const responseBody = Buffer.concat(chunks).toString('utf8');
        const status = response.statusCode ?? 0;
        const {headers: responseHeaders} = response;
        outcome.settle({
          kind: 'answer',
          status,
          body: responseBody,
          headers: responseHeaders,
        });
      });
    }

    let cancelTimeout = failAfter(
      timeout,
      `No answer of ${address} in ${timeout} ms.`,
    );
    const clientRequest = request({
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
    clientRequest.on('socket', socket => {
      isConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once('connect', () => {
          isConnected = true;
        });
      }
    });
    clientRequest.on('response', readResponse);
    clientRequest.on('error', (error: NodeJS.ErrnoException) => {
      const isUnsent = !isConnected && NOT_SENT_CODES.has(error.code ?? '');
      fail(String(error), !isUnsent);
    });
    clientRequest.end(body);
    abandoned?.onSettled(() => {
      if (!outcome.future.isSettled()) {
        if (isConnected) {
          clientRequest.socket?.resetAndDestroy();
        }
        fail('Abandoned.', isConnected);
      }
    });
    return outcome.future;
  }

  return {exchange, close: () => agent.destroy()};
}
