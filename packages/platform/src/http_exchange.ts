/** One HTTP exchange with the platform, through undici. */
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Agent, request} from 'undici';

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
const CONNECT_TIMEOUT = 1000;

/** Errors that come before a request's first byte has left. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(error: unknown): string {
  const isCoded =
    typeof error === 'object' && error !== null && 'code' in error;
  return isCoded ? String(error.code) : '';
}

/** Creates an exchanger with keep-alive connections. */
export function createHttpExchanger(
  options: HttpExchangerOptions,
): HttpExchanger {
  const {timer, connections} = options;
  const agent = new Agent({
    connections,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT},
    maxResponseSize: options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES,
  });

  async function send(
    address: string,
    {method, path, body, contentType, headers}: HttpRequest,
    signal: AbortSignal,
  ): Promise<HttpOutcome> {
    const answer = await request(`http://${address}${path}`, {
      method,
      dispatcher: agent,
      signal,
      ...(body === undefined ? {} : {body}),
      headers: {
        ...headers,
        ...(contentType === undefined ? {} : {'content-type': contentType}),
      },
    });
    const text = await answer.body.text();
    return {kind: 'answer', status: answer.statusCode, body: text};
  }

  function exchange(
    address: string,
    httpRequest: HttpRequest,
    timeout: Milliseconds,
  ): Future<HttpOutcome> {
    const outcome = createDeferred<HttpOutcome>();
    const abort = new AbortController();
    const cancelTimeout = timer.after(timeout, () => {
      const message = `No answer of ${address} in ${timeout} ms.`;
      outcome.settle({kind: 'failed', sent: true, message});
      abort.abort();
    });
    send(address, httpRequest, abort.signal)
      .catch((error: unknown): HttpOutcome => {
        const sent = !NOT_SENT_CODES.has(codeOf(error));
        return {kind: 'failed', sent, message: String(error)};
      })
      .then(result => {
        cancelTimeout();
        outcome.settle(result);
      });
    return outcome.future;
  }

  return {
    exchange,
    close: () => void agent.destroy(),
  };
}
