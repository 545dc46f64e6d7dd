/** The server for callers: JSON-RPC 2.0 over HTTP/1.1. */
import {Future, TimerService} from '@kelpstep/runtime';
import type {Address} from '@kelpstep/rpc';
import {Result} from 'ts-results';

import {HttpLimits, HttpServer, startHttpServer} from './http_server';
import {
  JsonRpcDispatcherOptions,
  createJsonRpcDispatcher,
} from './json_rpc_dispatcher';

/** Options of the callers' server. The handlers are the callers' methods. */
export interface CallerServerOptions extends JsonRpcDispatcherOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
}

/** Starts the server for callers; fails with a message if it can't listen. */
export function startCallerServer(
  options: CallerServerOptions,
): Future<Result<HttpServer, string>> {
  const {address, limits, timer} = options;
  const dispatch = createJsonRpcDispatcher(options);
  return startHttpServer({address, limits, timer, dispatch});
}
