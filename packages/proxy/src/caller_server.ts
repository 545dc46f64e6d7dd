/** The callers' port: JSON-RPC 2.0 over HTTP/1.1. */
import {Future, TimerService} from '@kelpstep/runtime';
import type {Address} from '@kelpstep/rpc';
import {Result} from 'ts-results';

import {HttpLimits, HttpServer, startHttpServer} from './http_server';
import {
  JsonRpcDispatcherOptions,
  createJsonRpcDispatcher,
} from './json_rpc_dispatcher';

/** What the callers' port is made of; its handlers are callers' methods. */
export interface CallerEdgeOptions extends JsonRpcDispatcherOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
}

/** Starts to serve callers. */
export function startCallerEdge(
  options: CallerEdgeOptions,
): Future<Result<HttpServer, string>> {
  const {address, limits, timer} = options;
  const dispatch = createJsonRpcDispatcher(options);
  return startHttpServer({address, limits, timer, dispatch});
}
