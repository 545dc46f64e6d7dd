/** Handlers for the methods that a process serves on its connections. */
import {Failure, Method, createFailure} from '@kelpstep/protocol';
import {Future, settledFuture} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import type {RpcPeer} from './peer';

/** The answer to a request: a result or a failure. */
export type Reply<R> = Result<R, Failure>;

/** Serves a method; `peer` is the connection that received the request. */
export type Handler<P, R> = (parameters: P, peer: RpcPeer) => Future<Reply<R>>;

/** Handlers by method name. */
export interface HandlerTable {
  /** Adds the handler of a method; it is called with validated parameters. */
  handle<P, R>(method: Method<P, R>, handler: Handler<P, R>): HandlerTable;
  /** Validates a request and passes it to its handler. */
  dispatch(
    name: string,
    parameters: unknown,
    peer: RpcPeer,
  ): Future<Reply<unknown>>;
}

type UntypedHandler = (
  parameters: unknown,
  peer: RpcPeer,
) => Future<Reply<unknown>>;

/** Creates a table without handlers. */
export function createHandlerTable(): HandlerTable {
  const handlers = new Map<string, UntypedHandler>();

  const table: HandlerTable = {
    handle(method, handler) {
      handlers.set(method.name, (parameters, peer) => {
        const parsed = method.parameters.safeParse(parameters ?? {});
        if (parsed.success) {
          return handler(parsed.data, peer);
        }
        const details = parsed.error.issues.map(
          issue => `${issue.path.join('.')}: ${issue.message}`,
        );
        return settledFuture(
          Err(createFailure('INVALID_PARAMETERS', {details})),
        );
      });
      return table;
    },
    dispatch(name, parameters, peer) {
      const handler = handlers.get(name);
      if (handler === undefined) {
        return settledFuture(
          Err(createFailure('METHOD_NOT_FOUND', {message: `No ${name}.`})),
        );
      }
      return handler(parameters, peer);
    },
  };
  return table;
}
