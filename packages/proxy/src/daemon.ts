/** Runs a proxy as a process, with real time, sockets and HTTP servers. */
import type {Settings} from '@kelpstep/manifest';
import {Logger, createLogger} from '@kelpstep/observability';
import {createHttpPlatformClient} from '@kelpstep/platform';
import {createTcpTransport} from '@kelpstep/rpc';
import {
  WideSeed,
  createRandom,
  createRealTimer,
  createRuntime,
  promiseFromFuture,
} from '@kelpstep/runtime';
import {randomBytes} from 'node:crypto';
import {Err, Ok, Result} from 'ts-results';

import {startCallerServer} from './caller_server';
import {createProxy} from './create_proxy';
import type {HttpLimits, HttpServer} from './http_server';
import {startOperatorServer} from './operator_server';
import type {Proxy} from './proxy_context';

/** A running proxy with its HTTP servers. */
export interface Daemon {
  readonly proxy: Proxy;
  readonly logger: Logger;
  /**
   * Stops gracefully. The promise resolves once requests are answered and
   * sockets closed.
   */
  stop(): Promise<void>;
}

const MAXIMUM_BATCH_SIZE = 50;
const MAXIMUM_OPERATOR_CONNECTIONS = 100;
/**
 * Maximum size of an operator's request, which may contain a whole manifest.
 */
const MAXIMUM_OPERATOR_BODY_BYTES = 4 * 1024 * 1024;

function createSeed(): WideSeed {
  const bytes = randomBytes(16);
  return [
    bytes.readInt32LE(0),
    bytes.readInt32LE(4),
    bytes.readInt32LE(8),
    bytes.readInt32LE(12),
  ];
}

function callerLimits({limits}: Settings): HttpLimits {
  return {
    maximumBodyBytes: limits.maximumBodyBytes,
    maximumConnections: limits.maximumCallerConnections,
    keepAliveTimeout: limits.callerIdleTimeout,
    requestTimeout: limits.requestReadTimeout,
  };
}

function operatorLimits(settings: Settings): HttpLimits {
  return {
    ...callerLimits(settings),
    maximumBodyBytes: MAXIMUM_OPERATOR_BODY_BYTES,
    maximumConnections: MAXIMUM_OPERATOR_CONNECTIONS,
  };
}

function createDaemonParts(settings: Settings) {
  const timer = createRealTimer();
  const logger = createLogger({part: 'proxy', proxy: settings.proxy, timer});
  const random = createRandom(createSeed());
  const runtime = createRuntime({
    timer,
    random,
    // An error in one task must not end the process for all callers.
    onTaskFailure: (error, name) =>
      logger.error('task_failed', {
        message: `${name}: ${error instanceof Error ? error.stack : error}`,
      }),
  });
  const platform = createHttpPlatformClient({
    ...settings.platform,
    timer,
    random: random.split(),
  });
  const transport = createTcpTransport({
    maximumFrameBytes: settings.limits.maximumFrameBytes,
  });
  return {timer, logger, runtime, platform, transport};
}

/**
 * Starts a daemon. It fails with a message if it can't listen on one of its
 * ports.
 */
export async function startDaemon(
  settings: Settings,
): Promise<Result<Daemon, string>> {
  const {timer, logger, runtime, platform, transport} =
    createDaemonParts(settings);
  const proxy = createProxy(settings, {
    runtime,
    transport,
    platform,
    logger,
    onRequestError: (error, method) =>
      logger.error('request_failed', {method, message: String(error)}),
  });
  const servers: HttpServer[] = [];

  async function close(): Promise<void> {
    await Promise.all(servers.map(({close}) => promiseFromFuture(close())));
    proxy.close();
    platform.close();
    runtime.shutdown();
    transport.close();
  }

  async function fail(message: string): Promise<Result<Daemon, string>> {
    await close();
    return Err(message);
  }

  const listening = await promiseFromFuture(proxy.start());
  if (listening.err) {
    return await fail(`${settings.addresses.peers}: ${listening.val.message}`);
  }
  const operators = await promiseFromFuture(
    startOperatorServer({
      address: settings.addresses.operators,
      limits: operatorLimits(settings),
      timer,
      handlers: proxy.operatorHandlers,
      token: settings.operatorToken,
      unreadyReason: proxy.unreadyReason,
      renderMetrics: proxy.renderMetrics,
    }),
  );
  if (operators.err) {
    return await fail(operators.val);
  }
  servers.push(operators.val);
  const callers = await promiseFromFuture(
    startCallerServer({
      address: settings.addresses.callers,
      limits: callerLimits(settings),
      timer,
      handlers: proxy.callerHandlers,
      maximumBatch: MAXIMUM_BATCH_SIZE,
      onResponse: proxy.onCallerResponse,
      onHandlerError: (error, method) =>
        logger.error('handler_failed', {method, message: String(error)}),
    }),
  );
  if (callers.err) {
    return await fail(callers.val);
  }
  servers.push(callers.val);
  logger.info('serving', {address: callers.val.address});

  async function stop(): Promise<void> {
    callers.map(server => server.announceClose());
    await promiseFromFuture(proxy.stop());
    await close();
  }

  return Ok({proxy, logger, stop});
}
