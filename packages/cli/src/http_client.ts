/** JSON-RPC 2.0 client over HTTP for the callers' and operators' ports. */
import {Failure, Method, createFailure} from '@kelpstep/protocol';
import {decodeFailure} from '@kelpstep/rpc';
import {createJSONRPCRequest, type JSONRPCResponse} from 'json-rpc-2.0';
import {Err, Ok, Result} from 'ts-results';

/** Sends requests to one port of one proxy. */
export interface HttpClient {
  /**
   * Sends a request. If the response is missing or invalid, the failure has the
   * outcome `unknown`; if the connection is refused, it has the outcome
   * `not_run`.
   */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
  ): Promise<Result<R, Failure>>;
}

/** Address, credentials and timeout of a client. */
export interface HttpClientOptions {
  /** `ip:port` of the proxy. */
  readonly address: string;
  /** Bearer token, required by the operators' port. */
  readonly token?: string;
  /** Maximum wait for a response, in milliseconds. */
  readonly timeout: number;
}

/** Error codes raised before a connection exists: the request was not sent. */
const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

function getConnectionErrorCode(error: unknown): string {
  const cause = error instanceof Error ? error.cause : undefined;
  return typeof cause === 'object' && cause !== null && 'code' in cause
    ? String(cause.code)
    : '';
}

function createRequestFailure(error: unknown, address: string): Failure {
  const code = getConnectionErrorCode(error);
  if (NOT_CONNECTED_CODES.has(code)) {
    const message = `No proxy answers at ${address}.`;
    return createFailure('NOT_READY', {message});
  }
  const reason = `${String(error)} ${code}`.trimEnd();
  const message = `No answer from ${address}: ${reason}`;
  return createFailure('OUTCOME_UNKNOWN', {message});
}

/** Creates a client that sends each request as an HTTP `POST` to `/rpc`. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const {address, token, timeout} = options;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    ...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
  };
  let nextId = 1;

  async function post(body: string): Promise<JSONRPCResponse> {
    const response = await fetch(`http://${address}/rpc`, {
      method: 'POST',
      headers,
      body,
      signal: AbortSignal.timeout(timeout),
    });
    return JSON.parse(await response.text());
  }

  async function request<P, R>(
    method: Method<P, R>,
    parameters: P,
  ): Promise<Result<R, Failure>> {
    const message = createJSONRPCRequest(nextId++, method.name, parameters);
    try {
      const response = await post(JSON.stringify(message));
      return response.error
        ? Err(decodeFailure(response.error))
        : Ok(method.result.parse(response.result));
    } catch (error) {
      return Err(createRequestFailure(error, address));
    }
  }

  return {request};
}
