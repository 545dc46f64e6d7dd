/**
 * Turns the body of a JSON-RPC request into the body of its answer. Holds no
 * socket, so that tests and other edges can use it.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Milliseconds, settledFuture} from '@kelpstep/runtime';
import {HandlerTable, Reply, RpcPeer, encodeFailure} from '@kelpstep/rpc';
import {Err} from 'ts-results';

/** What a caller names its request by. */
export type RequestId = string | number;

/** An answer as an edge sends it. */
export interface EncodedAnswer {
  readonly body: string;
  /** Time after which the request may be sent again, if one was refused. */
  readonly retryAfter?: Milliseconds;
}

/** Takes the answer; called once. */
export type Respond = (answer: EncodedAnswer) => void;

/** Answers the body of a request. */
export type JsonRpcDispatcher = (body: string, respond: Respond) => void;

/** An answer, for logs and metrics. */
export interface AnswerEvent {
  readonly id: RequestId | null;
  readonly method: string | undefined;
  /** Undefined if the request succeeded. */
  readonly failure: Failure | undefined;
}

/** Gets answers as they leave. */
export type AnswerListener = (event: AnswerEvent) => void;

/** What a dispatcher is made of. */
export interface JsonRpcDispatcherOptions {
  readonly handlers: HandlerTable;
  /** Most requests in one body. */
  readonly maximumBatch: number;
  /** Told when a handler throws. */
  readonly onHandlerFault?: (error: unknown, method: string) => void;
  /** Told of each answer: id and method as sent, if they could be read. */
  readonly onAnswer?: AnswerListener;
}

interface ValidRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly params: unknown;
}

const VERSION = '2.0';

/**
 * Handlers want the connection by which a request came; one over HTTP can't be
 * used to send requests back.
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

/** The answer to a request that failed before or while it was handled. */
export function encodeFailureAnswer(
  failure: Failure,
  id: RequestId | null = null,
): EncodedAnswer {
  const body = JSON.stringify({
    jsonrpc: VERSION,
    id,
    error: encodeFailure(failure),
  });
  const {retryAfter} = failure;
  return retryAfter === undefined ? {body} : {body, retryAfter};
}

function encodeResultAnswer(id: RequestId, result: unknown): EncodedAnswer {
  return {body: JSON.stringify({jsonrpc: VERSION, id, result})};
}

function isRequestId(value: unknown): value is RequestId {
  return typeof value === 'string' || typeof value === 'number';
}

/**
 * Reads a request. Notifications are refused: whoever sends a statement has to
 * learn what became of it.
 */
function readRequest(message: unknown): ValidRequest | undefined {
  if (typeof message !== 'object' || message === null) {
    return undefined;
  }
  const {jsonrpc, id, method, params} = message as Record<string, unknown>;
  if (jsonrpc !== VERSION || !isRequestId(id) || typeof method !== 'string') {
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

function parse(body: string): {readonly value: unknown} | undefined {
  try {
    return {value: JSON.parse(body)};
  } catch {
    return undefined;
  }
}

function longest(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): Milliseconds | undefined {
  return left === undefined ? right : Math.max(left, right ?? 0);
}

/** Creates a dispatcher over a table of handlers. */
export function createJsonRpcDispatcher(
  options: JsonRpcDispatcherOptions,
): JsonRpcDispatcher {
  const {handlers, maximumBatch, onAnswer} = options;
  const onHandlerFault = options.onHandlerFault ?? (() => {});

  function refuse(
    failure: Failure,
    respond: Respond,
    id: RequestId | null = null,
  ): void {
    onAnswer?.({id, method: undefined, failure});
    respond(encodeFailureAnswer(failure, id));
  }

  /** A fault in a handler costs its request, not the process. */
  function dispatchSafely(method: string, parameters: unknown) {
    try {
      return handlers.dispatch(method, parameters, HTTP_PEER);
    } catch (error) {
      onHandlerFault(error, method);
      return settledFuture<Reply<unknown>>(
        Err(createFailure('INTERNAL_ERROR')),
      );
    }
  }

  function answerOne(message: unknown, respond: Respond): void {
    const request = readRequest(message);
    if (request === undefined) {
      refuse(createFailure('INVALID_REQUEST'), respond, readId(message));
      return;
    }
    const {id, method, params} = request;
    dispatchSafely(method, params).onSettled(reply => {
      const failure = reply.ok ? undefined : reply.val;
      onAnswer?.({id, method, failure});
      respond(
        reply.ok
          ? encodeResultAnswer(id, reply.val)
          : encodeFailureAnswer(reply.val, id),
      );
    });
  }

  function answerBatch(messages: readonly unknown[], respond: Respond): void {
    if (messages.length === 0 || messages.length > maximumBatch) {
      const message = `A batch holds 1 to ${maximumBatch} requests.`;
      respond(encodeFailureAnswer(createFailure('INVALID_REQUEST', {message})));
      return;
    }
    const bodies: string[] = [];
    let retryAfter: Milliseconds | undefined;
    for (const message of messages) {
      answerOne(message, answer => {
        bodies.push(answer.body);
        retryAfter = longest(retryAfter, answer.retryAfter);
        if (bodies.length === messages.length) {
          const body = `[${bodies.join(',')}]`;
          respond(retryAfter === undefined ? {body} : {body, retryAfter});
        }
      });
    }
  }

  return (body, respond) => {
    const parsed = parse(body);
    if (parsed === undefined) {
      refuse(createFailure('PARSE_ERROR'), respond);
    } else if (Array.isArray(parsed.value)) {
      answerBatch(parsed.value, respond);
    } else {
      answerOne(parsed.value, respond);
    }
  };
}
