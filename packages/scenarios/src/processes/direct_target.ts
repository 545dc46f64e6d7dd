/** Connections from tests to a target that bypass the proxies. */
import {Method, TargetStatus, targetStatus} from '@kelpstep/protocol';
import {
  RequestFailure,
  RpcPeer,
  createRpcPeer,
  createTcpTransport,
} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {realClock} from './clock';

const DEFAULT_TIMEOUT_MS = 2000;

/** Connects to a target; undefined if it does not accept the connection. */
export async function connectToTarget(
  address: string,
): Promise<RpcPeer | undefined> {
  const dialResult = await promiseFromFuture(
    createTcpTransport().dial(address, DEFAULT_TIMEOUT_MS),
  );
  return dialResult.ok
    ? createRpcPeer({connection: dialResult.val, timer: realClock})
    : undefined;
}

/** Sends a request over a connection; `timeout` is in milliseconds. */
export function requestTarget<P, R>(
  peer: RpcPeer,
  method: Method<P, R>,
  parameters: P,
  timeout = DEFAULT_TIMEOUT_MS,
): Promise<Result<R, RequestFailure>> {
  return promiseFromFuture(peer.request(method, parameters, timeout));
}

/**
 * Probes a target's status over a new connection; undefined if the probe fails.
 */
export async function probeTarget(
  address: string,
): Promise<TargetStatus | undefined> {
  const peer = await connectToTarget(address);
  if (peer === undefined) {
    return undefined;
  }
  const reply = await requestTarget(peer, targetStatus, {});
  peer.close('status probed');
  return reply.ok ? reply.val : undefined;
}
