/**
 * An in-memory network in virtual time. Connections behave like TCP: frames
 * stay in order, frames stopped by a partition are retransmitted when it heals,
 * and a host resets connections that it doesn't know.
 */
import type {Milliseconds, Random, TimerService} from '@kelpstep/runtime';
import type {Transport} from '@kelpstep/rpc';

import {createConnectionRegistry} from './connection_registry';
import type {Endpoint, Frame} from './endpoint';
import {createFakeTransport, hostOf} from './fake_transport';
import {createHostLinks} from './host_links';
import type {HostProcess} from './host_process';
import {HostTimer, createHostTimer} from './host_timer';
import {MessagePredicate, createMessageRules} from './message_rules';

/** Clock, randomness and latencies of a fake network. */
export interface FakeNetworkOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** One-way latency between two hosts in milliseconds; 0.5 by default. */
  readonly latency?: (from: string, to: string) => Milliseconds;
  /** Maximum random addition to each latency in milliseconds; 0 by default. */
  readonly jitter?: Milliseconds;
  /** Called with a line of text for each frame that arrives. */
  readonly trace?: (line: string) => void;
}

/** A network of hosts, which are identified by IP address. */
export interface FakeNetwork {
  /**
   * Returns the transport of the process on a host. The first call, and the
   * first after `killHost` or `removeHost`, starts a new process.
   */
  transportFor(host: string): Transport;
  /** Returns the timer service of the process on a host. */
  timerFor(host: string): HostTimer;
  /** Partitions two hosts, or blocks only the direction `from` to `to`. */
  partition(from: string, to: string, direction?: PartitionDirection): void;
  /** Partitions every host of one list from every host of the other. */
  partitionGroups(
    from: readonly string[],
    to: readonly string[],
    direction?: PartitionDirection,
  ): void;
  /** Ends the partition between two hosts in both directions. */
  heal(left: string, right: string): void;
  /** Ends all partitions. */
  healAll(): void;
  /** True if packets from one host can't reach the other. */
  isPartitioned(from: string, to: string): boolean;
  /**
   * Drops all frames on the open connections between two hosts, including
   * frames in flight.
   */
  blackholeConnections(left: string, right: string): void;
  /** Kills the process: its connections are reset and dials are refused. */
  killHost(host: string): void;
  /** Removes the host: its connections get no answer and dials time out. */
  removeHost(host: string): void;
  /** Pauses the process; the host still accepts connections and frames. */
  freezeHost(host: string): void;
  thawHost(host: string): void;
  /**
   * Drops the next `count` (1 by default) matching answers; their requests were
   * delivered. Returns a function that removes the rule, as do the two methods
   * below.
   */
  loseAnswers(predicate: MessagePredicate, count?: number): () => void;
  /** Drops the next `count` (1 by default) matching messages of any kind. */
  loseMessages(predicate: MessagePredicate, count?: number): () => void;
  /**
   * Delays the next `count` (by default all) matching messages, and with them
   * the messages queued behind them.
   */
  delayMessages(
    predicate: MessagePredicate,
    duration: Milliseconds,
    count?: number,
  ): () => void;
}

/** Directions that a partition blocks. */
export type PartitionDirection = 'both' | 'one-way';

const DEFAULT_LATENCY_MS: Milliseconds = 0.5;

/** Creates a network without hosts. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
  const {timer, random} = options;
  const latency = options.latency ?? (() => DEFAULT_LATENCY_MS);
  const jitter = options.jitter ?? 0;
  const trace = options.trace;
  const processes = new Map<string, HostProcess>();
  const links = createHostLinks();
  const rules = createMessageRules();
  const connections = createConnectionRegistry(transmit);

  function processOf(host: string): HostProcess {
    const current = processes.get(host);
    if (current !== undefined && !current.timer.isStopped()) {
      return current;
    }
    const created: HostProcess = {
      host,
      timer: createHostTimer({timer}),
      listeners: new Map(),
    };
    links.add(host);
    processes.set(host, created);
    return created;
  }

  function travelTime(from: string, to: string): Milliseconds {
    const extra = jitter === 0 ? 0 : jitter * random.fraction();
    return latency(from, to) + extra;
  }

  /**
   * Schedules the arrival of a frame. Each arrival takes the oldest frame in
   * flight, so frames stay in order.
   */
  function transmit(sender: Endpoint, receiver: Endpoint, frame: Frame): void {
    const effect =
      frame.kind === 'message'
        ? rules.apply(sender, receiver, frame.original)
        : {lost: false, delay: 0};
    if (effect.lost || sender.silent) {
      return;
    }
    const duration = travelTime(sender.host, receiver.host) + effect.delay;
    const arrival = Math.max(receiver.lastArrival, timer.now() + duration);
    receiver.lastArrival = arrival;
    receiver.inFlight.push(frame);
    timer.after(arrival - timer.now(), () => arrive(sender, receiver));
  }

  function arrive(sender: Endpoint, receiver: Endpoint): void {
    const frame = receiver.inFlight.shift();
    if (frame === undefined || receiver.silent) {
      return;
    }
    if (!links.canReach(sender.host, receiver.host)) {
      if (frame.kind !== 'reset') {
        receiver.stalled.push(frame);
      }
      return;
    }
    trace?.(describeArrival(timer.now(), sender, receiver, frame));
    if (receiver.isOpen()) {
      receiver.process.run(() => receiver.accept(frame));
    } else if (frame.kind === 'message') {
      transmit(receiver, sender, {kind: 'reset'});
    }
  }

  /** Retransmits stalled frames ahead of the frames in flight. */
  function retransmit(sender: Endpoint, receiver: Endpoint): void {
    const stalled = receiver.stalled.drain();
    const later = receiver.inFlight.drain();
    for (const frame of [...stalled, ...later]) {
      receiver.inFlight.push(frame);
    }
    const duration = travelTime(sender.host, receiver.host);
    for (let count = 0; count < stalled.length; count++) {
      timer.after(duration, () => arrive(sender, receiver));
    }
  }

  function heal(left: string, right: string): void {
    links.heal(left, right);
    for (const [client, server] of connections.between(left, right)) {
      retransmit(client, server);
      retransmit(server, client);
    }
  }

  function dropFrames(left: string, right: string): void {
    for (const [client, server] of connections.between(left, right)) {
      client.silent = true;
      server.silent = true;
    }
  }

  function endProcess(host: string): void {
    const process = processOf(host);
    process.timer.stop();
    process.listeners.clear();
  }

  function killHost(host: string): void {
    endProcess(host);
    for (const [dead, alive] of connections.endsOf(host)) {
      dead.abandon();
      transmit(dead, alive, {kind: 'reset'});
    }
  }

  function removeHost(host: string): void {
    endProcess(host);
    links.remove(host);
    for (const [dead] of connections.endsOf(host)) {
      dead.abandon();
    }
  }

  function partitionPairs(
    from: readonly string[],
    to: readonly string[],
    direction: PartitionDirection = 'both',
  ): void {
    for (const left of from) {
      for (const right of to) {
        links.partition(left, right, direction === 'both');
      }
    }
  }

  function healAll(): void {
    for (const [from, to] of links.partitions()) {
      heal(from, to);
    }
  }

  return {
    transportFor: host =>
      createFakeTransport({
        process: processOf(host),
        timer,
        travelTime,
        canReach: links.canReach,
        processAt: address => processes.get(hostOf(address)),
        connect: connections.connect,
      }),
    timerFor: host => processOf(host).timer,
    partition: (from, to, direction) => partitionPairs([from], [to], direction),
    partitionGroups: partitionPairs,
    heal,
    healAll,
    isPartitioned: (from, to) => !links.canReach(from, to),
    blackholeConnections: dropFrames,
    killHost,
    removeHost,
    freezeHost: host => processOf(host).timer.freeze(),
    thawHost: host => processOf(host).timer.thaw(),
    loseAnswers: (predicate, count = 1) =>
      rules.lose(message => message.isAnswer && predicate(message), count),
    loseMessages: (predicate, count = 1) => rules.lose(predicate, count),
    delayMessages: (predicate, duration, count = Infinity) =>
      rules.delay(predicate, duration, count),
  };
}

function describeArrival(
  now: Milliseconds,
  sender: Endpoint,
  receiver: Endpoint,
  frame: Frame,
): string {
  const content = frame.kind === 'message' ? frame.text : frame.kind;
  return `${now} ${sender.host} > ${receiver.host} ${content}`;
}
