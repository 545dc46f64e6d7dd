/** Pool for one target: admission control and connections. */
import {createFailure} from '@kelpstep/protocol';
import type {RequestFailure, RpcPeer} from '@kelpstep/rpc';
import {
  Deferred,
  Future,
  Milliseconds,
  createDeferred,
} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import {AdmissionEntry, RunOutcome, createAdmission} from './admission';
import {createConnectionShare} from './connection_share';
import {createConnections} from './connections';
import {Lease, createLease, leavesStateUnknown} from './lease';
import type {
  LeaseAttempt,
  TargetPool,
  TargetPoolOptions,
  TargetRequest,
} from './pool_types';

interface Entry extends AdmissionEntry {
  send(peer: RpcPeer): void;
  failUnreachable(): void;
}

/** Approximate time to open a connection, for predictions. */
const CONNECTION_SETUP_MS: Milliseconds = 20;

function outcomeOf(reply: Result<unknown, RequestFailure>): RunOutcome {
  if (reply.ok) {
    return 'answered';
  }
  if (reply.val.failure.name === 'SLOTS_EXHAUSTED') {
    return 'exhausted';
  }
  return leavesStateUnknown(reply.val) ? 'lost' : 'answered';
}

/** Creates a pool without open connections. */
export function createTargetPool(options: TargetPoolOptions): TargetPool {
  const {runtime, member, policies} = options;
  const {timer} = runtime;
  const share = createConnectionShare(timer, policies.connectionShare, {
    connectionLimit: member.connectionLimit,
    liveProxies: options.liveProxies,
  });
  const connections = createConnections({
    runtime,
    transport: options.transport,
    target: member.id,
    address: member.address,
    share,
    times: options.times,
    onReady: dispatch,
    onUnavailable: failQueued,
  });
  const admission = createAdmission<Entry>({
    runtime,
    slots: member.slots,
    policies,
    queueCapacity: options.queueCapacity,
    connectionShare: share.current,
    onReady: dispatch,
  });
  let nextOrder = 0;
  let isClosed = false;

  function failQueued(): void {
    admission.takeAll().forEach(entry => entry.failUnreachable());
  }

  function dispatch(): void {
    while (admission.queued() > 0 && admission.mayStart()) {
      const peer = connections.take();
      if (peer === undefined) {
        break;
      }
      sendNext(peer);
    }
    if (admission.queued() > 0) {
      connections.ensureOpen(admission.usefulConnections());
    }
  }

  function sendNext(peer: RpcPeer): void {
    const entry = admission.next();
    if (entry === undefined) {
      connections.addIdle(peer);
    } else {
      entry.send(peer);
    }
  }

  function submit(entry: Entry): void {
    if (isClosed || connections.isUnavailable()) {
      entry.failUnreachable();
      return;
    }
    const startsAtOnce = admission.queued() === 0 && admission.mayStart();
    const peer = startsAtOnce ? connections.take() : undefined;
    if (peer === undefined) {
      admission.add(entry);
      dispatch();
    } else {
      entry.send(peer);
    }
  }

  /** Requeues a request that the target refused for lack of capacity. */
  function requeue(entry: Entry, peer: RpcPeer, outcome: RunOutcome): void {
    if (outcome === 'exhausted') {
      admission.waitForSlot(entry);
      connections.addIdle(peer);
      return;
    }
    connections.discard(peer, 'refused at the connection limit');
    share.refused(connections.openCount());
    submit(entry);
  }

  function returnConnection(
    peer: RpcPeer,
    reply: Result<unknown, RequestFailure>,
  ): void {
    if (reply.ok || !leavesStateUnknown(reply.val)) {
      connections.addIdle(peer);
      return;
    }
    connections.discard(peer, 'state in doubt');
    if (reply.val.kind === 'timeout') {
      connections.probeIdle();
    }
    dispatch();
  }

  function leaseConnection(peer: RpcPeer): Lease {
    admission.addLease();
    return createLease(peer, {
      onRelease() {
        admission.removeLease();
        connections.addIdle(peer);
      },
      onAbandon(reason) {
        admission.removeLease();
        connections.discard(peer, reason);
        dispatch();
      },
    });
  }

  function createEntry<P, R>(
    {work, method, parameters, timeout}: TargetRequest<P, R>,
    keepsConnection: boolean,
    deferred: Deferred<LeaseAttempt<R>>,
  ): Entry {
    const arrivedAt = timer.now();
    const entry: Entry = {
      kind: work.kind,
      worth: work.worth,
      deadline: work.deadline,
      order: nextOrder++,
      expected: admission.expected(work.kind),
      refuse: failure => fail({kind: 'refused', sent: false, failure}),
      failUnreachable() {
        const message = `No connection to ${member.id}.`;
        const failure = createFailure('TIMED_OUT', {message});
        fail({kind: 'closed', sent: false, failure});
      },
      send,
    };

    function fail(failure: RequestFailure): void {
      const queueTime = timer.now() - arrivedAt;
      deferred.settle({reply: Err(failure), queueTime, lease: undefined});
    }

    function send(peer: RpcPeer): void {
      const sentAt = timer.now();
      const run = admission.start(entry);
      const limitedTimeout = Math.min(timeout, work.deadline - sentAt);
      peer.request(method, parameters, limitedTimeout).onSettled(reply => {
        run.end(outcomeOf(reply), reply.err);
        finish(peer, reply, sentAt - arrivedAt);
      });
    }

    function finish(
      peer: RpcPeer,
      reply: Result<R, RequestFailure>,
      queueTime: Milliseconds,
    ): void {
      const name = reply.err ? reply.val.failure.name : undefined;
      if (name === 'SLOTS_EXHAUSTED' || name === 'CONNECTIONS_EXHAUSTED') {
        requeue(entry, peer, outcomeOf(reply));
      } else if (reply.ok && keepsConnection) {
        deferred.settle({reply, queueTime, lease: leaseConnection(peer)});
      } else {
        returnConnection(peer, reply);
        deferred.settle({reply, queueTime, lease: undefined});
      }
    }

    return entry;
  }

  function start<P, R>(
    request: TargetRequest<P, R>,
    keepsConnection: boolean,
  ): Future<LeaseAttempt<R>> {
    const deferred = createDeferred<LeaseAttempt<R>>();
    submit(createEntry(request, keepsConnection, deferred));
    return deferred.future;
  }

  function close(): void {
    isClosed = true;
    failQueued();
    connections.close();
  }

  return {
    run: request => start(request, false),
    lease: request => start(request, true),
    expectedTime(kind) {
      const setupTime = connections.openCount() === 0 ? CONNECTION_SETUP_MS : 0;
      return setupTime + admission.expectedTime(kind);
    },
    roundTrip: connections.roundTrip,
    keepWarm: connections.keep,
    updateShare: (connectionLimit, liveProxies) =>
      share.update({connectionLimit, liveProxies}),
    tick: connections.tick,
    load: () => ({
      inFlight: admission.inFlight(),
      queued: admission.queued(),
      connections: connections.openCount(),
      concurrencyLimit: admission.limit(),
      connectionShare: share.current(),
      shed: admission.shed(),
    }),
    close,
  };
}
