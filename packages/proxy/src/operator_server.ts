/**
 * The server for operators: health checks and metrics without authentication,
 * and JSON-RPC for clients that send the operator token.
 */
import {Future, TimerService} from '@kelpstep/runtime';
import {Address, HandlerTable} from '@kelpstep/rpc';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Result} from 'ts-results';

import {
  HttpLimits,
  HttpServer,
  PlainResponse,
  PlainRoute,
  startHttpServer,
} from './http_server';
import {createJsonRpcDispatcher} from './json_rpc_dispatcher';

/** Handlers, token and sources of the operators' server. */
export interface OperatorServerOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
  /** Methods for operators. */
  readonly handlers: HandlerTable;
  /** Operator token, sent as `Authorization: Bearer ...`. */
  readonly token: string;
  /** Why this proxy is not ready; undefined if it is. */
  readonly unreadyReason: () => string | undefined;
  /** Metrics in the Prometheus text format. */
  readonly renderMetrics: () => string;
}

const BEARER_PATTERN = /^Bearer +(.+)$/i;
const TEXT_TYPE = 'text/plain; charset=utf-8';
const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';
const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Creates a check of a request's bearer token. It compares digests, so that the
 * timing reveals neither content nor length of the token.
 */
export function createTokenCheck(token: string) {
  const expectedDigest = digest(token);
  return (request: IncomingMessage): boolean => {
    const givenToken =
      BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1] ?? '';
    return timingSafeEqual(digest(givenToken), expectedDigest);
  };
}

function text(status: number, body: string): PlainResponse {
  return {status, contentType: TEXT_TYPE, body: `${body}\n`};
}

function createRoutes(
  options: OperatorServerOptions,
): ReadonlyMap<string, PlainRoute> {
  const {unreadyReason, renderMetrics} = options;

  function readiness(): PlainResponse {
    const reason = unreadyReason();
    return reason === undefined
      ? text(OK_STATUS, 'ok')
      : text(UNAVAILABLE_STATUS, reason);
  }

  function metrics(): PlainResponse {
    return {
      status: OK_STATUS,
      contentType: METRICS_TYPE,
      body: renderMetrics(),
    };
  }

  return new Map([
    ['/healthz', () => text(OK_STATUS, 'ok')],
    ['/readyz', readiness],
    ['/metrics', metrics],
  ]);
}

/** Starts the server for operators; fails with a message if it can't listen. */
export function startOperatorServer(
  options: OperatorServerOptions,
): Future<Result<HttpServer, string>> {
  const {address, limits, timer, handlers, token} = options;
  return startHttpServer({
    address,
    limits,
    timer,
    dispatch: createJsonRpcDispatcher({handlers, maximumBatch: 1}),
    authorize: createTokenCheck(token),
    plainRoutes: createRoutes(options),
  });
}
