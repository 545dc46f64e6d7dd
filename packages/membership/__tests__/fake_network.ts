/** Memberships over a network in memory, with cuts, deaths and byte counts. */
import {
  Failure,
  GroupLeadership,
  PeerState,
  createFailure,
  peerStateSchema,
} from '@kelpstep/protocol';
import {createHandlerTable, type RpcPeer} from '@kelpstep/rpc';
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
const LATENCY = 6;

/** How a process is: a `frozen` one does nothing until it is thawed. */
export type Health = 'running' | 'frozen' | 'killed';

/** A timer whose listeners wait while their process is frozen. */
function createFreezableTimer(timer: TimerService) {
  let isFrozen = false;
  const missed: Array<() => void> = [];

  function guard(listener: () => void): () => void {
    return () => {
      if (isFrozen) {
        missed.push(listener);
      } else {
        listener();
      }
    };
  }
  return {
    ...timer,
    after: (delay: number, listener: () => void) =>
      timer.after(delay, guard(listener)),
    every: (period: number, listener: () => void) =>
      timer.every(period, guard(listener)),
    /** Runs something as the process would: later, if it is frozen. */
    run: (action: () => void) => guard(action)(),
    freeze() {
      isFrozen = true;
    },
    thaw() {
      isFrozen = false;
      missed.splice(0).forEach(listener => listener());
    },
  };
}

/** A proxy of the network. */
export interface FakeProxy {
  readonly address: string;
  readonly membership: RunningMembership;
  readonly runtime: Runtime;
  readonly timer: ReturnType<typeof createFreezableTimer>;
  readonly heardManifests: number[];
  readonly leaderships: Map<string, GroupLeadership>;
  manifestVersion: number;
  health: Health;
  bytesSent: number;
  exchangesSent: number;
}

/** A network of proxies in virtual time. */
export function createFakeNetwork(seed = 1, checksSchema = true) {
  const timer = createVirtualTimer();
  const random = createRandom(seed);
  const proxies = new Map<string, FakeProxy>();
  /** True if messages from one address to another are lost. */
  const state = {isCut: (unusedFrom: string, unusedTo: string) => false};
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
      timer.after(LATENCY, () => {
        const receiver = proxies.get(to);
        if (state.isCut(from, to)) {
          return;
        }
        if (receiver === undefined || receiver.health === 'killed') {
          const refused = createFailure('OUTCOME_UNKNOWN', {
            outcome: 'not_run',
          });
          timer.after(LATENCY, () => reply.settle(Err(refused)));
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
    asked: PeerState,
    from: string,
    settle: (reply: Result<PeerState, Failure>) => void,
  ): void {
    const handlers = createHandlerTable();
    receiver.membership.serve(handlers);
    handlers.dispatch('peer.exchange', asked, unusedPeer).onSettled(result => {
      const text = result.ok ? JSON.stringify(result.val) : '';
      receiver.bytesSent += text.length;
      timer.after(LATENCY, () => {
        if (!state.isCut(receiver.address, from) && result.ok) {
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
    const heardManifests: number[] = [];
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
        heardManifest: version => heardManifests.push(version),
        heardLeadership(leadership) {
          const known = leaderships.get(leadership.group)?.term ?? 0;
          const isNews = leadership.term > known;
          if (isNews) {
            leaderships.set(leadership.group, leadership);
          }
          return isNews;
        },
      },
    });
    const proxy: FakeProxy = {
      address,
      membership,
      runtime,
      timer: ownTimer,
      heardManifests,
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

/** Data centre of the n-th proxy. */
export function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
}

/** Ids of the proxies that one believes to be alive, sorted. */
export function liveIds({membership}: FakeProxy): string[] {
  return membership
    .liveProxies()
    .map(({proxy}) => proxy)
    .sort();
}
