/**
 * The connections of this proxy to one target. Each carries one statement or
 * one transaction at a time. A new one is tried out with `target.status`, which
 * takes no slot: it finds a target at its connection limit, and another target
 * at the address, before a request pays for it.
 */
import {targetStatus} from '@kelpstep/protocol';
import {RequestFailure, RpcPeer, Transport, createRpcPeer} from '@kelpstep/rpc';
import {
  Milliseconds,
  Runtime,
  Task,
  Unsubscribe,
  waitFor,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {ConnectionShare} from './connection_share';
import type {ConnectionTimes} from './connection_times';
import {createExponentialBackoff} from './retry';

/** What a set of connections is made of. */
export interface ConnectionsOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Member id that the other end must answer with. */
  readonly target: string;
  readonly address: string;
  readonly share: ConnectionShare;
  readonly times: ConnectionTimes;
  /** A connection is idle now, or opening one may be tried again. */
  onReady(): void;
  /** No connection is open, and one could not be opened. */
  onUnavailable(): void;
}

/** The connections of this proxy to one target. */
export interface Connections {
  /** Takes the connection that was used last. */
  take(): RpcPeer | undefined;
  /** Gives a connection back whose state is certain. */
  giveBack(peer: RpcPeer): void;
  /** Closes a connection whose state is in doubt. */
  discard(peer: RpcPeer, reason: string): void;
  /** Tries out the idle connections, after another one went silent. */
  probeIdle(): void;
  /** Opens connections until so many are open, within the share. */
  want(count: number): void;
  /** Sets how many stay open while idle. */
  keep(minimum: number): void;
  /** Trims, probes and refills; call it a few times a second. */
  tick(): void;
  /** True right after a failed try to open the first connection. */
  isUnavailable(): boolean;
  openCount(): number;
  /** Shortest time of a first answer; undefined before any. */
  roundTrip(): Milliseconds | undefined;
  /** Closes idle connections now and others when given back. */
  close(): void;
}

interface IdleConnection {
  readonly peer: RpcPeer;
  readonly since: Milliseconds;
}

type OpenFailure = 'at-limit' | 'unreachable';

const reopenBackoff = createExponentialBackoff({first: 10, longest: 500});

function reasonOf(failure: RequestFailure): OpenFailure {
  return failure.failure.name === 'CONNECTIONS_EXHAUSTED'
    ? 'at-limit'
    : 'unreachable';
}

/** Creates an empty set; it opens nothing before `want` or `keep`. */
export function createConnections(options: ConnectionsOptions): Connections {
  const {runtime, transport, share, times} = options;
  const {timer, random} = runtime;
  const open = new Set<RpcPeer>();
  let idle: IdleConnection[] = [];
  let opening = 0;
  let failures = 0;
  let isUnreachable = false;
  let retryAt = -Infinity;
  let cancelRetry: Unsubscribe | undefined;
  let minimum = 0;
  let shortestRoundTrip: Milliseconds | undefined;
  let isClosed = false;

  function forget(peer: RpcPeer): void {
    open.delete(peer);
    idle = idle.filter(entry => entry.peer !== peer);
  }

  function discard(peer: RpcPeer, reason: string): void {
    forget(peer);
    peer.close(reason);
  }

  function giveBack(peer: RpcPeer): void {
    if (!open.has(peer)) {
      return;
    }
    if (isClosed) {
      discard(peer, 'no longer needed');
      return;
    }
    idle.push({peer, since: timer.now()});
    options.onReady();
  }

  function* tryOut(
    peer: RpcPeer,
    timeout: Milliseconds,
  ): Task<Result<undefined, OpenFailure>> {
    const askedAt = timer.now();
    const reply = yield* waitFor(peer.request(targetStatus, {}, timeout));
    if (reply.err) {
      return Err(reasonOf(reply.val));
    }
    if (reply.val.target !== options.target) {
      return Err('unreachable');
    }
    const taken = timer.now() - askedAt;
    shortestRoundTrip = Math.min(shortestRoundTrip ?? Infinity, taken);
    return Ok(undefined);
  }

  function* connect(): Task<Result<RpcPeer, OpenFailure>> {
    const dialled = yield* waitFor(
      transport.dial(options.address, times.connectTimeout),
    );
    if (dialled.err) {
      return Err('unreachable');
    }
    const peer = createRpcPeer({connection: dialled.val, timer});
    const tried = yield* tryOut(peer, times.connectTimeout);
    if (tried.err) {
      peer.close('not usable');
      return tried;
    }
    return Ok(peer);
  }

  function* openOne(): Task<void> {
    const connected = yield* connect();
    opening -= 1;
    if (connected.err) {
      onOpenFailure(connected.val);
      return;
    }
    const peer = connected.val;
    failures = 0;
    isUnreachable = false;
    open.add(peer);
    peer.closed.onSettled(() => forget(peer));
    giveBack(peer);
  }

  function onOpenFailure(failure: OpenFailure): void {
    failures += 1;
    isUnreachable = failure === 'unreachable';
    retryAt = timer.now() + reopenBackoff(failures, random);
    if (failure === 'at-limit') {
      share.refused(open.size);
    } else if (open.size === 0) {
      options.onUnavailable();
    }
    scheduleRetry();
  }

  function scheduleRetry(): void {
    cancelRetry?.();
    cancelRetry = timer.after(retryAt - timer.now(), () => {
      cancelRetry = undefined;
      options.onReady();
    });
  }

  function want(count: number): void {
    if (isClosed || timer.now() < retryAt) {
      return;
    }
    const wanted = Math.min(count, share.current());
    // After a failure one try at a time tells whether it still fails.
    const missing = wanted - open.size - opening;
    const starts = failures > 0 ? Math.min(missing, 1 - opening) : missing;
    for (let started = 0; started < starts; started++) {
      opening += 1;
      runtime.spawn('open connection', openOne());
    }
  }

  function* probe(peer: RpcPeer): Task<void> {
    const tried = yield* tryOut(peer, times.probeTimeout);
    if (tried.ok) {
      giveBack(peer);
    } else {
      discard(peer, 'silent');
    }
  }

  function probeAll(isDue: (entry: IdleConnection) => boolean): void {
    const due = idle.filter(isDue);
    idle = idle.filter(entry => !isDue(entry));
    for (const {peer} of due) {
      runtime.spawn('probe connection', probe(peer));
    }
  }

  /** Suspects don't count as open, so that new ones may take their place. */
  function probeIdle(): void {
    const suspects = idle.map(({peer}) => peer);
    idle = [];
    for (const peer of suspects) {
      open.delete(peer);
      runtime.spawn('probe connection', probeSuspect(peer));
    }
  }

  function* probeSuspect(peer: RpcPeer): Task<void> {
    const tried = yield* tryOut(peer, times.probeTimeout);
    if (tried.ok && open.size + opening < share.current()) {
      open.add(peer);
      giveBack(peer);
    } else {
      peer.close('silent or replaced');
    }
  }

  function trim(): void {
    const now = timer.now();
    const equal = Math.max(minimum, share.equal());
    for (const {peer, since} of [...idle]) {
      const excess = open.size - minimum;
      const borrowed = open.size - equal;
      const idleFor = now - since;
      if (
        (borrowed > 0 && idleFor >= times.borrowedIdleTime) ||
        (excess > 0 && idleFor >= times.idleTime)
      ) {
        discard(peer, 'idle');
      }
    }
  }

  function tick(): void {
    trim();
    const now = timer.now();
    probeAll(entry => now - entry.peer.lastHeardAt() >= times.probePeriod);
    want(minimum);
  }

  return {
    take: () => idle.pop()?.peer,
    giveBack,
    discard,
    probeIdle,
    want,
    keep(newMinimum) {
      minimum = newMinimum;
      want(minimum);
    },
    tick,
    isUnavailable: () =>
      open.size === 0 && isUnreachable && timer.now() < retryAt,
    openCount: () => open.size,
    roundTrip: () => shortestRoundTrip,
    close() {
      isClosed = true;
      cancelRetry?.();
      for (const {peer} of [...idle]) {
        discard(peer, 'no longer needed');
      }
    },
  };
}
