/** The callers' port: JSON-RPC 2.0 over HTTP/1.1. */
import {Future, TimerService} from '@kelpstep/runtime';
import {Address, HandlerTable} from '@kelpstep/rpc';
import {Result} from 'ts-results';

import {HttpLimits, HttpServer, startHttpServer} from './http_server';
import {createJsonRpcDispatcher} from './json_rpc_dispatcher';

/** What the callers' port is made of. */
export interface CallerEdgeOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
  /** Most requests in one body. */
  readonly maximumBatch: number;
  /** Callers' methods and no others. */
  readonly handlers: HandlerTable;
}

/** Starts to serve callers. */
export function startCallerEdge(
  options: CallerEdgeOptions,
): Future<Result<HttpServer, string>> {
  const {address, limits, timer, handlers, maximumBatch} = options;
  const dispatch = createJsonRpcDispatcher({handlers, maximumBatch});
  return startHttpServer({address, limits, timer, dispatch});
}
