/**
 * Memberships over an in-memory network with partitions, failures and byte
 * counts.
 */
import {
  Failure,
  GroupLeadership,
  PeerState,
  createFailure,
  peerStateSchema,
} from '@kelpstep/protocol';
import {type RpcPeer, createHandlerTable} from '@kelpstep/rpc';
import {
  Future,
  Runtime,
  TimerService,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {RunningMembership, createMembership} from '..';

const DATA_CENTRES = ['east', 'west', 'south'];
const LATENCY_MS = 6;

/** State of a process: a `frozen` one does nothing until it is thawed. */
export type Health = 'running' | 'frozen' | 'killed';

/**
 * Creates a timer whose listeners are deferred while their process is frozen.
 */
function createFreezableTimer(timer: TimerService) {
  let isFrozen = false;
  const deferredListeners: Array<() => void> = [];

  function deferWhileFrozen(listener: () => void): () => void {
    return () => {
      if (isFrozen) {
        deferredListeners.push(listener);
      } else {
        listener();
      }
    };
  }
  return {
    ...timer,
    after: (delay: number, listener: () => void) =>
      timer.after(delay, deferWhileFrozen(listener)),
    every: (period: number, listener: () => void) =>
      timer.every(period, deferWhileFrozen(listener)),
    /** Runs an action of the process, deferred while it is frozen. */
    run: (action: () => void) => deferWhileFrozen(action)(),
    freeze() {
      isFrozen = true;
    },
    thaw() {
      isFrozen = false;
      deferredListeners.splice(0).forEach(listener => listener());
    },
  };
}

/** A proxy, and what it has sent and received so far. */
export interface FakeProxy {
  readonly address: string;
  readonly membership: RunningMembership;
  readonly runtime: Runtime;
  readonly timer: ReturnType<typeof createFreezableTimer>;
  readonly receivedManifestVersions: number[];
  readonly leaderships: Map<string, GroupLeadership>;
  manifestVersion: number;
  health: Health;
  bytesSent: number;
  exchangesSent: number;
}

/**
 * Creates a network in virtual time. With `checksSchema`, each message is
 * parsed by its schema.
 */
export function createFakeNetwork(seed = 1, checksSchema = true) {
  const timer = createVirtualTimer();
  const random = createRandom(seed);
  const proxies = new Map<string, FakeProxy>();
  /**
   * `isPartitioned` returns true if messages from one address to another are
   * lost; tests replace it.
   */
  const state = {
    isPartitioned: (unusedFrom: string, unusedTo: string) => false,
  };
  const unusedPeer = {} as RpcPeer;

  function encode(value: PeerState): string {
    return JSON.stringify(value);
  }

  function decode(text: string): PeerState {
    const value: unknown = JSON.parse(text);
    return checksSchema ? peerStateSchema.parse(value) : (value as PeerState);
  }

  function exchangeFrom(from: string) {
    return (
      to: string,
      sent: PeerState,
    ): Future<Result<PeerState, Failure>> => {
      const reply = createDeferred<Result<PeerState, Failure>>();
      const text = encode(sent);
      const sender = proxies.get(from);
      if (sender !== undefined) {
        sender.bytesSent += text.length;
        sender.exchangesSent++;
      }
      timer.after(LATENCY_MS, () => {
        const receiver = proxies.get(to);
        if (state.isPartitioned(from, to)) {
          return;
        }
        if (receiver === undefined || receiver.health === 'killed') {
          const refused = createFailure('OUTCOME_UNKNOWN', {
            outcome: 'not_run',
          });
          timer.after(LATENCY_MS, () => reply.settle(Err(refused)));
        } else {
          receiver.timer.run(() =>
            answer(receiver, decode(text), from, reply.settle),
          );
        }
      });
      return reply.future;
    };
  }

  function answer(
    receiver: FakeProxy,
    request: PeerState,
    from: string,
    settle: (reply: Result<PeerState, Failure>) => void,
  ): void {
    const handlers = createHandlerTable();
    receiver.membership.serve(handlers);
    handlers
      .dispatch('peer.exchange', request, unusedPeer)
      .onSettled(result => {
        const text = result.ok ? JSON.stringify(result.val) : '';
        receiver.bytesSent += text.length;
        timer.after(LATENCY_MS, () => {
          if (!state.isPartitioned(receiver.address, from) && result.ok) {
            settle(Ok(decode(text)));
          }
        });
      });
  }

  function add(
    name: string,
    dataCentre: string,
    seeds: readonly string[],
    address = name,
  ): FakeProxy {
    const ownTimer = createFreezableTimer(timer);
    const runtime = createRuntime({timer: ownTimer, random: random.split()});
    const receivedManifestVersions: number[] = [];
    const leaderships = new Map<string, GroupLeadership>();
    const membership = createMembership({
      runtime,
      self: {
        proxy: name,
        incarnation: random.hexadecimal(8),
        dataCentre,
        address,
      },
      seeds,
      exchange: exchangeFrom(address),
      hooks: {
        ready: () => true,
        manifestVersion: () => proxy.manifestVersion,
        onManifestVersion: version => receivedManifestVersions.push(version),
        onLeadership(leadership) {
          const known = leaderships.get(leadership.group)?.term ?? 0;
          const isNew = leadership.term > known;
          if (isNew) {
            leaderships.set(leadership.group, leadership);
          }
          return isNew;
        },
      },
    });
    const proxy: FakeProxy = {
      address,
      membership,
      runtime,
      timer: ownTimer,
      receivedManifestVersions,
      leaderships,
      manifestVersion: 1,
      health: 'running',
      bytesSent: 0,
      exchangesSent: 0,
    };
    proxies.set(address, proxy);
    membership.start();
    return proxy;
  }

  /** Adds proxies p0, p1, ... over three data centres, two of them seeds. */
  function addMany(count: number): FakeProxy[] {
    return Array.from({length: count}, (unused, index) =>
      add(`p${index}`, dataCentreOf(index), ['p0', 'p1']),
    );
  }

  function kill(proxy: FakeProxy): void {
    proxy.health = 'killed';
    proxy.runtime.shutdown();
  }

  function freeze(proxy: FakeProxy): void {
    proxy.health = 'frozen';
    proxy.timer.freeze();
  }

  function thaw(proxy: FakeProxy): void {
    proxy.health = 'running';
    proxy.timer.thaw();
  }

  return {timer, state, add, addMany, kill, freeze, thaw};
}

/** Data centre of the proxy with an index. */
export function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
}

/** Sorted ids of the proxies that one proxy considers alive. */
export function liveIds({membership}: FakeProxy): string[] {
  return membership
    .liveProxies()
    .map(({proxy}) => proxy)
    .sort();
}
