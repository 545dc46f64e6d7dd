/**
 * The operators' port: probes and metrics for all who reach it, and JSON-RPC
 * for those who hold the operators' token.
 */
import {Future, TimerService} from '@kelpstep/runtime';
import {Address, HandlerTable} from '@kelpstep/rpc';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Result} from 'ts-results';

import {
  HttpLimits,
  HttpServer,
  PlainAnswer,
  PlainRoute,
  startHttpServer,
} from './http_server';
import {createJsonRpcDispatcher} from './json_rpc_dispatcher';

/** What the operators' port is made of. */
export interface OperatorEdgeOptions {
  readonly address: Address;
  readonly limits: HttpLimits;
  readonly timer: TimerService;
  /** Operators' methods. */
  readonly handlers: HandlerTable;
  /** Sent as `Authorization: Bearer ...`. */
  readonly token: string;
  /** Why this proxy is not ready, or undefined. */
  readonly unreadyReason: () => string | undefined;
  /** Metrics in the Prometheus text format. */
  readonly renderMetrics: () => string;
}

const BEARER = /^Bearer +(.+)$/i;
const TEXT_TYPE = 'text/plain; charset=utf-8';
const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';
const OK = 200;
const UNAVAILABLE = 503;

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares digests, so that the time tells neither content nor length. */
export function createTokenCheck(token: string) {
  const wanted = digest(token);
  return (request: IncomingMessage): boolean => {
    const given = BEARER.exec(request.headers.authorization ?? '')?.[1] ?? '';
    return timingSafeEqual(digest(given), wanted);
  };
}

function text(status: number, body: string): PlainAnswer {
  return {status, contentType: TEXT_TYPE, body: `${body}\n`};
}

function createRoutes(
  options: OperatorEdgeOptions,
): ReadonlyMap<string, PlainRoute> {
  const {unreadyReason, renderMetrics} = options;

  function readiness(): PlainAnswer {
    const reason = unreadyReason();
    return reason === undefined ? text(OK, 'ok') : text(UNAVAILABLE, reason);
  }

  function metrics(): PlainAnswer {
    return {status: OK, contentType: METRICS_TYPE, body: renderMetrics()};
  }

  return new Map([
    ['/healthz', () => text(OK, 'ok')],
    ['/readyz', readiness],
    ['/metrics', metrics],
  ]);
}

/** Starts to serve operators. */
export function startOperatorEdge(
  options: OperatorEdgeOptions,
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
