/**
 * Omits from exchanges what the peer already knows. The sender's identity and
 * empty lists make up half of a heartbeat between proxies.
 */
import {
  Failure,
  PeerState,
  ProxyIdentity,
  ShortPeerState,
  peerExchange,
  peerShortExchange,
} from '@kelpstep/protocol';
import {Milliseconds, Runtime, Task, waitFor} from '@kelpstep/runtime';
import {Ok, Result} from 'ts-results';

import type {PeerExchange} from './exchanges';
import type {IdempotentRequest} from './idempotent_request';
import {memberKey} from './member_table';

/**
 * The timeout applies to each request, so a fallback can take twice as long.
 */
export interface ShortExchangeOptions {
  readonly runtime: Runtime;
  readonly request: IdempotentRequest;
  readonly timeout: Milliseconds;
}

/**
 * Replaces the sender's identity by its key and omits `proxies` and an empty
 * list of leaderships.
 */
export function shortenState(state: PeerState): ShortPeerState {
  const {from, leaderships, proxies: unusedProxies, ...rest} = state;
  return {
    ...rest,
    sender: memberKey(from),
    ...(leaderships.length > 0 ? {leaderships} : {}),
  };
}

/** Restores the full state from its short form; `from` is its sender. */
export function expandState(
  short: ShortPeerState,
  from: ProxyIdentity,
): PeerState {
  const {sender: unusedSender, leaderships = [], ...rest} = short;
  return {...rest, from, leaderships, proxies: []};
}

/** True if the peer answered that it can't read the short form. */
function isShortFormRefusal({name}: Failure): boolean {
  return name === 'INVALID_PARAMETERS' || name === 'METHOD_NOT_FOUND';
}

/**
 * Sends short states to peers that have answered a full one. Falls back to a
 * full state if the peer refuses the short form or another process answers in
 * its place.
 */
export function createShortExchange(
  options: ShortExchangeOptions,
): PeerExchange {
  const {runtime, request: sendRequest, timeout} = options;
  const knownPeers = new Map<string, ProxyIdentity>();

  function* exchange(
    address: string,
    state: PeerState,
  ): Task<Result<PeerState, Failure>> {
    const knownPeer = knownPeers.get(address);
    if (knownPeer !== undefined) {
      const reply = yield* waitFor(
        sendRequest(address, peerShortExchange, shortenState(state), timeout),
      );
      if (reply.ok && reply.val.sender === memberKey(knownPeer)) {
        return Ok(expandState(reply.val, knownPeer));
      }
      knownPeers.delete(address);
      if (reply.err && !isShortFormRefusal(reply.val)) {
        return reply;
      }
    }
    const reply = yield* waitFor(
      sendRequest(address, peerExchange, state, timeout),
    );
    if (reply.ok) {
      knownPeers.set(address, reply.val.from);
    }
    return reply;
  }

  return (address, state) =>
    runtime.spawn('short exchange', exchange(address, state)).result;
}
