/** Connections to a target that by-pass the proxies, for tests. */
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

const TIMEOUT = 2000;

/** Connects to a target; undefined if it doesn't accept. */
export async function connectToTarget(
  address: string,
): Promise<RpcPeer | undefined> {
  const dialled = await promiseFromFuture(
    createTcpTransport().dial(address, TIMEOUT),
  );
  return dialled.ok
    ? createRpcPeer({connection: dialled.val, timer: realClock})
    : undefined;
}

/** Sends a request over a connection. */
export function requestTarget<P, R>(
  peer: RpcPeer,
  method: Method<P, R>,
  parameters: P,
  timeout = TIMEOUT,
): Promise<Result<R, RequestFailure>> {
  return promiseFromFuture(peer.request(method, parameters, timeout));
}

/** A target's status over a connection of its own; undefined without one. */
export async function askTarget(
  address: string,
): Promise<TargetStatus | undefined> {
  const peer = await connectToTarget(address);
  if (peer === undefined) {
    return undefined;
  }
  const reply = await requestTarget(peer, targetStatus, {});
  peer.close('asked');
  return reply.ok ? reply.val : undefined;
}
