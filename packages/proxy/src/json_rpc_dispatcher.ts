/**
 * Maps the body of a JSON-RPC request to the body of its response. It does not
 * depend on sockets, so that tests and other servers can use it.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Milliseconds, settledFuture} from '@kelpstep/runtime';
import {HandlerTable, Reply, RpcPeer, encodeFailure} from '@kelpstep/rpc';
import {Err} from 'ts-results';

/** The JSON-RPC id of a request. */
export type RequestId = string | number;

/** The body of a response, and a delay for its `retry-after` header. */
export interface EncodedResponse {
  readonly body: string;
  /** Time after which refused requests may be sent again. */
  readonly retryAfter?: Milliseconds;
}

/** Receives the response to a request or batch; called exactly once. */
export type Respond = (response: EncodedResponse) => void;

/** Handles the body of a request or of a batch of requests. */
export type JsonRpcDispatcher = (body: string, respond: Respond) => void;

/** A response, for logs and metrics. */
export interface ResponseEvent {
  readonly id: RequestId | null;
  readonly method: string | undefined;
  /** Undefined if the request succeeded. */
  readonly failure: Failure | undefined;
}

/** Called with each response when it is sent. */
export type ResponseListener = (event: ResponseEvent) => void;

/** Handlers of a dispatcher, its batch limit and its listeners. */
export interface JsonRpcDispatcherOptions {
  readonly handlers: HandlerTable;
  /** Maximum number of requests in a batch. */
  readonly maximumBatch: number;
  /**
   * Called when a handler throws; the request then fails with `INTERNAL_ERROR`.
   */
  readonly onHandlerError?: (error: unknown, method: string) => void;
  /**
   * Called with each response, with id and method if they could be read. The
   * response to a batch of an invalid size is not reported.
   */
  readonly onResponse?: ResponseListener;
}

interface ValidRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly params: unknown;
}

const JSON_RPC_VERSION = '2.0';

/**
 * Stands for the HTTP client, because handlers expect the peer that sent a
 * request. Over HTTP no requests can be sent back to it.
 */
const HTTP_PEER: RpcPeer = {
  remoteAddress: 'http',
  request: () =>
    settledFuture(
      Err({
        kind: 'closed',
        sent: false,
        failure: createFailure('METHOD_NOT_FOUND'),
      }),
    ),
  notify: () => {},
  onNotification: () => {},
  closed: {isSettled: () => false, onSettled: () => () => {}},
  close: () => {},
  lastHeardAt: () => 0,
  pendingRequests: () => 0,
};

/** Encodes the response to a request that failed before or during handling. */
export function encodeErrorResponse(
  failure: Failure,
  id: RequestId | null = null,
): EncodedResponse {
  const body = JSON.stringify({
    jsonrpc: JSON_RPC_VERSION,
    id,
    error: encodeFailure(failure),
  });
  const {retryAfter} = failure;
  return retryAfter === undefined ? {body} : {body, retryAfter};
}

function encodeResultResponse(id: RequestId, result: unknown): EncodedResponse {
  return {body: JSON.stringify({jsonrpc: JSON_RPC_VERSION, id, result})};
}

function isRequestId(value: unknown): value is RequestId {
  return typeof value === 'string' || typeof value === 'number';
}

/**
 * Reads a request. Notifications are rejected, as the sender of a statement has
 * to learn its outcome.
 */
function readRequest(message: unknown): ValidRequest | undefined {
  if (typeof message !== 'object' || message === null) {
    return undefined;
  }
  const {jsonrpc, id, method, params} = message as Record<string, unknown>;
  if (
    jsonrpc !== JSON_RPC_VERSION ||
    !isRequestId(id) ||
    typeof method !== 'string'
  ) {
    return undefined;
  }
  return {id, method, params};
}

function readId(message: unknown): RequestId | null {
  if (typeof message !== 'object' || message === null) {
    return null;
  }
  const {id} = message as Record<string, unknown>;
  return isRequestId(id) ? id : null;
}

function parseJson(body: string): {readonly value: unknown} | undefined {
  try {
    return {value: JSON.parse(body)};
  } catch {
    return undefined;
  }
}

function maximumDelay(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): Milliseconds | undefined {
  return left === undefined ? right : Math.max(left, right ?? 0);
}

/** Creates a dispatcher that accepts single requests and batches. */
export function createJsonRpcDispatcher(
  options: JsonRpcDispatcherOptions,
): JsonRpcDispatcher {
  const {handlers, maximumBatch, onResponse} = options;
  const onHandlerError = options.onHandlerError ?? (() => {});

  function reject(
    failure: Failure,
    respond: Respond,
    id: RequestId | null = null,
  ): void {
    onResponse?.({id, method: undefined, failure});
    respond(encodeErrorResponse(failure, id));
  }

  /**
   * Calls a handler. If it throws, the request fails, and the process keeps
   * running.
   */
  function dispatchSafely(method: string, parameters: unknown) {
    try {
      return handlers.dispatch(method, parameters, HTTP_PEER);
    } catch (error) {
      onHandlerError(error, method);
      return settledFuture<Reply<unknown>>(
        Err(createFailure('INTERNAL_ERROR')),
      );
    }
  }

  function handleMessage(message: unknown, respond: Respond): void {
    const request = readRequest(message);
    if (request === undefined) {
      reject(createFailure('INVALID_REQUEST'), respond, readId(message));
      return;
    }
    const {id, method, params} = request;
    dispatchSafely(method, params).onSettled(reply => {
      const failure = reply.ok ? undefined : reply.val;
      onResponse?.({id, method, failure});
      respond(
        reply.ok
          ? encodeResultResponse(id, reply.val)
          : encodeErrorResponse(reply.val, id),
      );
    });
  }

  function handleBatch(messages: readonly unknown[], respond: Respond): void {
    if (messages.length === 0 || messages.length > maximumBatch) {
      const message = `A batch holds 1 to ${maximumBatch} requests.`;
      respond(encodeErrorResponse(createFailure('INVALID_REQUEST', {message})));
      return;
    }
    const bodies: string[] = [];
    let retryAfter: Milliseconds | undefined;
    for (const message of messages) {
      handleMessage(message, response => {
        bodies.push(response.body);
        retryAfter = maximumDelay(retryAfter, response.retryAfter);
        if (bodies.length === messages.length) {
          const body = `[${bodies.join(',')}]`;
          respond(retryAfter === undefined ? {body} : {body, retryAfter});
        }
      });
    }
  }

  return (body, respond) => {
    const parsed = parseJson(body);
    if (parsed === undefined) {
      reject(createFailure('PARSE_ERROR'), respond);
    } else if (Array.isArray(parsed.value)) {
      handleBatch(parsed.value, respond);
    } else {
      handleMessage(parsed.value, respond);
    }
  };
}
