/**
 * Leaves out of exchanges what the partner knows already. The identity of the
 * sender and empty lists are half of a heartbeat between proxies.
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

/** How states are sent. */
export interface ShortExchangeOptions {
  readonly runtime: Runtime;
  readonly ask: IdempotentRequest;
  readonly timeout: Milliseconds;
}

/** The short form of a state. */
export function shorten(state: PeerState): ShortPeerState {
  const {from, leaderships, proxies: unusedProxies, ...rest} = state;
  return {
    ...rest,
    sender: memberKey(from),
    ...(leaderships.length > 0 ? {leaderships} : {}),
  };
}

/** The state that a short one stands for; `from` is its sender. */
export function lengthen(
  short: ShortPeerState,
  from: ProxyIdentity,
): PeerState {
  const {sender: unusedSender, leaderships = [], ...rest} = short;
  return {...rest, from, leaderships, proxies: []};
}

/** True if the partner answered that it can't read the short form. */
function isRefusal({name}: Failure): boolean {
  return name === 'INVALID_PARAMETERS' || name === 'METHOD_NOT_FOUND';
}

/**
 * Sends short states to partners that have answered a full one, and full ones
 * to others, to those that refuse, and to those in whose place another answers.
 */
export function createShortExchange(
  options: ShortExchangeOptions,
): PeerExchange {
  const {runtime, ask, timeout} = options;
  const partners = new Map<string, ProxyIdentity>();

  function* exchange(
    address: string,
    state: PeerState,
  ): Task<Result<PeerState, Failure>> {
    const partner = partners.get(address);
    if (partner !== undefined) {
      const reply = yield* waitFor(
        ask(address, peerShortExchange, shorten(state), timeout),
      );
      if (reply.ok && reply.val.sender === memberKey(partner)) {
        return Ok(lengthen(reply.val, partner));
      }
      partners.delete(address);
      if (reply.err && !isRefusal(reply.val)) {
        return reply;
      }
    }
    const reply = yield* waitFor(ask(address, peerExchange, state, timeout));
    if (reply.ok) {
      partners.set(address, reply.val.from);
    }
    return reply;
  }

  return (address, state) =>
    runtime.spawn('short exchange', exchange(address, state)).result;
}
