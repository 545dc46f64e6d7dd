/**
 * Connections of this proxy to one target. Each carries one statement or one
 * transaction at a time. A new connection is checked with `target.status`,
 * which takes no slot. This detects a target at its connection limit, or a
 * different target at the address, before a request uses the connection.
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

/** All connections lead to one target; `share` limits how many may be open. */
export interface ConnectionsOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Member id that the target must report. */
  readonly target: string;
  readonly address: string;
  readonly share: ConnectionShare;
  readonly times: ConnectionTimes;
  /**
   * Called when a connection is idle or the backoff after a failure is over.
   */
  onReady(): void;
  /**
   * Called when opening a connection failed while none is open, unless the
   * target is at its connection limit.
   */
  onUnavailable(): void;
}

/** Opens, checks and closes the connections of this proxy to one target. */
export interface Connections {
  /** Takes the idle connection that was used last. */
  take(): RpcPeer | undefined;
  /** Makes a connection available again. Its state must be known. */
  addIdle(peer: RpcPeer): void;
  /** Closes a connection, for example because its state is unknown. */
  discard(peer: RpcPeer, reason: string): void;
  /** Probes the idle connections after another one became unresponsive. */
  probeIdle(): void;
  /** Opens connections until `count` are open, within the share. */
  ensureOpen(count: number): void;
  /** Sets the number of connections that stay open while idle. */
  keep(minimum: number): void;
  /**
   * Closes surplus idle connections, probes idle ones that received no data for
   * `probePeriod`, and opens missing ones. To be called a few times per second.
   */
  tick(): void;
  /**
   * True if no connection is open, the last attempt to open one did not reach
   * the target, and the backoff after it has not ended.
   */
  isUnavailable(): boolean;
  openCount(): number;
  /** Shortest round trip of a check; `undefined` before the first. */
  roundTrip(): Milliseconds | undefined;
  /** Closes idle connections now and the others when they become idle. */
  close(): void;
}

interface IdleConnection {
  readonly peer: RpcPeer;
  readonly since: Milliseconds;
}

type OpenFailure = 'at-limit' | 'unreachable';

const reopenBackoff = createExponentialBackoff({first: 10, longest: 500});

function openFailureOf(failure: RequestFailure): OpenFailure {
  return failure.failure.name === 'CONNECTIONS_EXHAUSTED'
    ? 'at-limit'
    : 'unreachable';
}

/**
 * Creates a set that opens no connection before `ensureOpen` or `keep` is
 * called.
 */
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

  function remove(peer: RpcPeer): void {
    open.delete(peer);
    idle = idle.filter(entry => entry.peer !== peer);
  }

  function discard(peer: RpcPeer, reason: string): void {
    remove(peer);
    peer.close(reason);
  }

  function addIdle(peer: RpcPeer): void {
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

  function* checkTarget(
    peer: RpcPeer,
    timeout: Milliseconds,
  ): Task<Result<undefined, OpenFailure>> {
    const requestedAt = timer.now();
    const reply = yield* waitFor(peer.request(targetStatus, {}, timeout));
    if (reply.err) {
      return Err(openFailureOf(reply.val));
    }
    if (reply.val.target !== options.target) {
      return Err('unreachable');
    }
    const roundTrip = timer.now() - requestedAt;
    shortestRoundTrip = Math.min(shortestRoundTrip ?? Infinity, roundTrip);
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
    const checked = yield* checkTarget(peer, times.connectTimeout);
    if (checked.err) {
      peer.close('not usable');
      return checked;
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
    peer.closed.onSettled(() => remove(peer));
    addIdle(peer);
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

  function ensureOpen(count: number): void {
    if (isClosed || timer.now() < retryAt) {
      return;
    }
    const wanted = Math.min(count, share.current());
    // After a failure, connections are opened one at a time until one succeeds.
    const missing = wanted - open.size - opening;
    const starts = failures > 0 ? Math.min(missing, 1 - opening) : missing;
    for (let started = 0; started < starts; started++) {
      opening += 1;
      runtime.spawn('open connection', openOne());
    }
  }

  function* probe(peer: RpcPeer): Task<void> {
    const checked = yield* checkTarget(peer, times.probeTimeout);
    if (checked.ok) {
      addIdle(peer);
    } else {
      discard(peer, 'silent');
    }
  }

  function probeDue(isDue: (entry: IdleConnection) => boolean): void {
    const due = idle.filter(isDue);
    idle = idle.filter(entry => !isDue(entry));
    for (const {peer} of due) {
      runtime.spawn('probe connection', probe(peer));
    }
  }

  /**
   * Connections under this probe don't count as open, so that new ones can
   * replace them.
   */
  function probeIdle(): void {
    const suspects = idle.map(({peer}) => peer);
    idle = [];
    for (const peer of suspects) {
      open.delete(peer);
      runtime.spawn('probe connection', probeSuspect(peer));
    }
  }

  function* probeSuspect(peer: RpcPeer): Task<void> {
    const checked = yield* checkTarget(peer, times.probeTimeout);
    if (checked.ok && open.size + opening < share.current()) {
      open.add(peer);
      addIdle(peer);
    } else {
      peer.close('silent or replaced');
    }
  }

  function closeSurplusIdle(): void {
    const now = timer.now();
    const equal = Math.max(minimum, share.equal());
    for (const {peer, since} of [...idle]) {
      const excess = open.size - minimum;
      const borrowed = open.size - equal;
      const idleDuration = now - since;
      if (
        (borrowed > 0 && idleDuration >= times.borrowedIdleTime) ||
        (excess > 0 && idleDuration >= times.idleTime)
      ) {
        discard(peer, 'idle');
      }
    }
  }

  function tick(): void {
    closeSurplusIdle();
    const now = timer.now();
    probeDue(entry => now - entry.peer.lastHeardAt() >= times.probePeriod);
    ensureOpen(minimum);
  }

  return {
    take: () => idle.pop()?.peer,
    addIdle,
    discard,
    probeIdle,
    ensureOpen,
    keep(newMinimum) {
      minimum = newMinimum;
      ensureOpen(minimum);
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
