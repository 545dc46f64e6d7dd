/**
 * One end of a JSON-RPC connection: sends requests and correlates the answers,
 * and serves the other end's requests. The message forms come from
 * json-rpc-2.0; its client is not used because it settles promises, whose
 * order virtual time does not control.
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

/** How a request failed. */
export interface RequestFailure {
  /**
   * `refused`: the other end answered with an error. `timeout`: no answer in
   * time. `closed`: the connection ended first. `malformed`: the answer does
   * not match the method's schema. For all but `refused` the other end may
   * have acted, unless `sent` is false.
   */
  readonly kind: 'refused' | 'timeout' | 'closed' | 'malformed';
  /** False if the request never left this process. */
  readonly sent: boolean;
  /** The other end's failure, or one that describes the kind. */
  readonly failure: Failure;
}

/** Receives notifications by method name. */
export type NotificationListener = (parameters: unknown) => void;

/** One end of a connection. */
export interface RpcPeer {
  readonly remoteAddress: string;
  /** Sends a request; an answer after the timeout is dropped. */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /** Sends a message that gets no answer. */
  notify(method: string, parameters: object): void;
  /** Names the listener of a notification. */
  onNotification(method: string, listener: NotificationListener): void;
  /** Settles with the reason when the connection ends. */
  readonly closed: Future<string>;
  close(reason: string): void;
  /** Monotonic time of the last message that arrived. */
  lastHeardAt(): Milliseconds;
  /** Requests without an answer so far. */
  pendingRequests(): number;
}

/** What a peer is made of. */
export interface RpcPeerOptions {
  readonly connection: Connection;
  readonly timer: TimerService;
  /** Methods that this end serves; none by default. */
  readonly handlers?: HandlerTable;
}

interface Pending {
  /** Checks the answer and settles the request. */
  readonly conclude: (result: Result<unknown, RequestFailure>) => void;
  readonly cancelTimeout: Unsubscribe;
}

function failed(
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
    : Err(failed('malformed', true, `Bad answer to ${method.name}.`));
}

/** Puts JSON-RPC on a connection. */
export function createRpcPeer(options: RpcPeerOptions): RpcPeer {
  const {connection, timer} = options;
  const handlers = options.handlers ?? createHandlerTable();
  const pending = new Map<number, Pending>();
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
      return settledFuture(Err(failed('closed', false, 'Connection ended.')));
    }
    const id = nextId++;
    const deferred = createDeferred<Result<R, RequestFailure>>();
    const cancelTimeout = timer.after(timeout, () =>
      settle(id, Err(failed('timeout', true, `${method.name} timed out.`))),
    );
    pending.set(id, {
      conclude: result => deferred.settle(parseResult(method, result)),
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
    entry.conclude(result);
  }

  function acceptResponse(response: JSONRPCResponse): void {
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

  function serve(message: JSONRPCRequest): void {
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
      acceptResponse(message);
    } else if (isJSONRPCRequest(message)) {
      serve(message);
    } else {
      connection.close('not a JSON-RPC message');
    }
  }

  function onClose(reason: string): void {
    closed.settle(reason);
    for (const id of [...pending.keys()]) {
      settle(id, Err(failed('closed', true, `Connection ended: ${reason}.`)));
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
