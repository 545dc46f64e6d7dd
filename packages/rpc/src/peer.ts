/**
 * One end of a JSON-RPC connection: sends requests, matches the responses to
 * them, and serves the requests of the remote end. The message formats come
 * from json-rpc-2.0. Its client is not used because it settles promises, and
 * their order is not reproducible under virtual time.
 */
import {Failure, Method, createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  TimerService,
  Unsubscribe,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';
import {
  createJSONRPCErrorResponse,
  createJSONRPCNotification,
  createJSONRPCRequest,
  createJSONRPCSuccessResponse,
  isJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Err, Ok, Result} from 'ts-results';

import {decodeFailure, encodeFailure} from './failure_codec';
import {HandlerTable, createHandlerTable} from './handlers';
import {Connection} from './transport';

/** Reason why a request has no result. */
export interface RequestFailure {
  /**
   * `refused`: the remote end answered with an error. `timeout`: there was no
   * answer within the timeout. `closed`: the connection was closed before the
   * answer. `malformed`: the answer does not match the method's schema. Except
   * for `refused`, the remote end may have run the request if `sent` is true.
   */
  readonly kind: 'refused' | 'timeout' | 'closed' | 'malformed';
  /** False if the request never left this process. */
  readonly sent: boolean;
  /** The failure sent by the remote end, or one that describes the kind. */
  readonly failure: Failure;
}

/** Receives the parameters of a notification. */
export type NotificationListener = (parameters: unknown) => void;

/** One end of a connection. */
export interface RpcPeer {
  readonly remoteAddress: string;
  /** Sends a request; an answer after the timeout is ignored. */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /** Sends a notification, which is not answered. */
  notify(method: string, parameters: object): void;
  /** Sets the listener of a notification. */
  onNotification(method: string, listener: NotificationListener): void;
  /** Settles with the reason when the connection is closed. */
  readonly closed: Future<string>;
  close(reason: string): void;
  /** Monotonic time of the last received message. */
  lastHeardAt(): Milliseconds;
  /** Number of requests waiting for an answer. */
  pendingRequests(): number;
}

/** The peer becomes the only listener of its connection. */
export interface RpcPeerOptions {
  readonly connection: Connection;
  readonly timer: TimerService;
  /** Handlers of the methods that this end serves; none by default. */
  readonly handlers?: HandlerTable;
}

interface PendingRequest {
  /** Validates the answer and settles the request. */
  readonly complete: (result: Result<unknown, RequestFailure>) => void;
  readonly cancelTimeout: Unsubscribe;
}

function createRequestFailure(
  kind: RequestFailure['kind'],
  sent: boolean,
  message: string,
): RequestFailure {
  const outcome = sent ? 'unknown' : 'not_run';
  return {
    kind,
    sent,
    failure: createFailure('OUTCOME_UNKNOWN', {message, outcome}),
  };
}

function parseResult<P, R>(
  method: Method<P, R>,
  result: Result<unknown, RequestFailure>,
): Result<R, RequestFailure> {
  if (result.err) {
    return result;
  }
  const checked = method.result.safeParse(result.val);
  return checked.success
    ? Ok(checked.data)
    : Err(
        createRequestFailure(
          'malformed',
          true,
          `Bad answer to ${method.name}.`,
        ),
      );
}

/** Creates a JSON-RPC peer, which starts to receive messages at once. */
export function createRpcPeer(options: RpcPeerOptions): RpcPeer {
  const {connection, timer} = options;
  const handlers = options.handlers ?? createHandlerTable();
  const pending = new Map<number, PendingRequest>();
  const notificationListeners = new Map<string, NotificationListener>();
  const closed = createDeferred<string>();
  let nextId = 1;
  let lastHeard = timer.now();

  function request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    if (closed.future.isSettled()) {
      return settledFuture(
        Err(createRequestFailure('closed', false, 'Connection ended.')),
      );
    }
    const id = nextId++;
    const deferred = createDeferred<Result<R, RequestFailure>>();
    const cancelTimeout = timer.after(timeout, () =>
      settle(
        id,
        Err(createRequestFailure('timeout', true, `${method.name} timed out.`)),
      ),
    );
    pending.set(id, {
      complete: result => deferred.settle(parseResult(method, result)),
      cancelTimeout,
    });
    connection.send(createJSONRPCRequest(id, method.name, parameters));
    return deferred.future;
  }

  function settle(id: number, result: Result<unknown, RequestFailure>): void {
    const entry = pending.get(id);
    if (entry === undefined) {
      return;
    }
    pending.delete(id);
    entry.cancelTimeout();
    entry.complete(result);
  }

  function handleResponse(response: JSONRPCResponse): void {
    if (typeof response.id !== 'number') {
      return;
    }
    if (response.error === undefined || response.error === null) {
      settle(response.id, Ok(response.result));
      return;
    }
    const failure = decodeFailure(response.error);
    settle(response.id, Err({kind: 'refused', sent: true, failure}));
  }

  function handleRequest(message: JSONRPCRequest): void {
    const {id} = message;
    if (id === undefined || id === null) {
      notificationListeners.get(message.method)?.(message.params);
      return;
    }
    handlers.dispatch(message.method, message.params, peer).onSettled(reply => {
      connection.send(
        reply.ok
          ? createJSONRPCSuccessResponse(id, reply.val)
          : createJSONRPCErrorResponse(id, ...errorArguments(reply.val)),
      );
    });
  }

  function onMessage(message: unknown): void {
    lastHeard = timer.now();
    if (isJSONRPCResponse(message)) {
      handleResponse(message);
    } else if (isJSONRPCRequest(message)) {
      handleRequest(message);
    } else {
      connection.close('not a JSON-RPC message');
    }
  }

  function onClose(reason: string): void {
    closed.settle(reason);
    for (const id of [...pending.keys()]) {
      settle(
        id,
        Err(
          createRequestFailure('closed', true, `Connection ended: ${reason}.`),
        ),
      );
    }
  }

  const peer: RpcPeer = {
    remoteAddress: connection.remoteAddress,
    request,
    notify: (method, parameters) =>
      connection.send(createJSONRPCNotification(method, parameters)),
    onNotification: (method, listener) =>
      notificationListeners.set(method, listener),
    closed: closed.future,
    close: reason => connection.close(reason),
    lastHeardAt: () => lastHeard,
    pendingRequests: () => pending.size,
  };
  connection.listen({onMessage, onClose});
  return peer;
}

function errorArguments(failure: Failure): [number, string, unknown] {
  const {code, message, data} = encodeFailure(failure);
  return [code, message, data];
}
