/** JSON-RPC 2.0 over HTTP, as callers and operators speak it to a proxy. */
import {Failure, Method, createFailure} from '@kelpstep/protocol';
import {decodeFailure} from '@kelpstep/rpc';
import {createJSONRPCRequest, type JSONRPCResponse} from 'json-rpc-2.0';
import {Err, Ok, Result} from 'ts-results';

/** Sends requests to one proxy. */
export interface HttpClient {
  /** Sends a request; a lost answer is a failure of unknown outcome. */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
  ): Promise<Result<R, Failure>>;
}

/** What a client is made of. */
export interface HttpClientOptions {
  /** `ip:port` of the proxy. */
  readonly address: string;
  /** Operators' token. */
  readonly token?: string;
  /** Longest wait for an answer, milliseconds. */
  readonly timeout: number;
}

/** Error codes of connections that never came to be. */
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

function connectionErrorCode(error: unknown): string {
  const cause = error instanceof Error ? error.cause : undefined;
  return typeof cause === 'object' && cause !== null && 'code' in cause
    ? String(cause.code)
    : '';
}

function lostAnswer(error: unknown, address: string): Failure {
  const code = connectionErrorCode(error);
  if (NOT_CONNECTED.has(code)) {
    const message = `No proxy answers at ${address}.`;
    return createFailure('NOT_READY', {message});
  }
  const reason = `${String(error)} ${code}`.trimEnd();
  const message = `No answer from ${address}: ${reason}`;
  return createFailure('OUTCOME_UNKNOWN', {message});
}

/** Creates a client of one proxy. */
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
      const answer = await post(JSON.stringify(message));
      return answer.error
        ? Err(decodeFailure(answer.error))
        : Ok(method.result.parse(answer.result));
    } catch (error) {
      return Err(lostAnswer(error, address));
    }
  }

  return {request};
}
