/**
 * A network in memory and virtual time. Connections behave as TCP does: frames
 * stay in order, what meets a cut is sent again once it is healed, and a host
 * that does not know a connection resets it.
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

/** What a network is made of. */
export interface FakeNetworkOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** One-way latency between two hosts, milliseconds; 0.5 by default. */
  readonly latency?: (from: string, to: string) => Milliseconds;
  /** Up to this many milliseconds are added to each latency; 0 by default. */
  readonly jitter?: Milliseconds;
  /** Gets a line for each frame that arrives. */
  readonly trace?: (line: string) => void;
}

/** A network between hosts, which are named by their IP. */
export interface FakeNetwork {
  /**
   * The transport of the process on a host. After `killHost` or `removeHost`
   * the next call starts a new process on it.
   */
  transportFor(host: string): Transport;
  /** The timer service of the same process. */
  timerFor(host: string): HostTimer;
  /** Cuts two hosts off from each other, or `from` to `to` only. */
  cut(from: string, to: string, direction?: CutDirection): void;
  /** Cuts every host of one list off from every host of the other. */
  cutGroups(
    from: readonly string[],
    to: readonly string[],
    direction?: CutDirection,
  ): void;
  /** Ends the cut between two hosts, in both directions. */
  heal(left: string, right: string): void;
  /** Ends all cuts. */
  healAll(): void;
  /** True if packets from one host don't reach the other. */
  isCut(from: string, to: string): boolean;
  /** The open connections between two hosts carry nothing any more. */
  silence(left: string, right: string): void;
  /** Ends the process: connections are reset and dials refused. */
  killHost(host: string): void;
  /** Takes the host away: nothing answers, dials time out. */
  removeHost(host: string): void;
  /** Pauses the process; its kernel goes on accepting. */
  freezeHost(host: string): void;
  thawHost(host: string): void;
  /** Loses the next answers that match; their requests have arrived. */
  loseAnswers(predicate: MessagePredicate, count?: number): () => void;
  /** Loses the next messages of any kind that match. */
  loseMessages(predicate: MessagePredicate, count?: number): () => void;
  /** Delays matching messages; those behind on the same connection wait. */
  delayMessages(
    predicate: MessagePredicate,
    duration: Milliseconds,
    count?: number,
  ): () => void;
}

/** Which way a cut holds. */
export type CutDirection = 'both' | 'one-way';

const DEFAULT_LATENCY: Milliseconds = 0.5;

/** Creates a network without hosts. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
  const {timer, random} = options;
  const latency = options.latency ?? (() => DEFAULT_LATENCY);
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

  /** Sends a frame; arrivals take frames in order, whatever their times. */
  function transmit(sender: Endpoint, receiver: Endpoint, frame: Frame): void {
    const fate =
      frame.kind === 'message'
        ? rules.judge(sender, receiver, frame.original)
        : {lost: false, delay: 0};
    if (fate.lost || sender.silent) {
      return;
    }
    const duration = travelTime(sender.host, receiver.host) + fate.delay;
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
    if (!links.canPass(sender.host, receiver.host)) {
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

  /** Sends again what met a cut, ahead of what was sent later. */
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

  function silence(left: string, right: string): void {
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

  function cutGroups(
    from: readonly string[],
    to: readonly string[],
    direction: CutDirection = 'both',
  ): void {
    for (const left of from) {
      for (const right of to) {
        links.cut(left, right, direction === 'both');
      }
    }
  }

  function healAll(): void {
    for (const [from, to] of links.cuts()) {
      heal(from, to);
    }
  }

  return {
    transportFor: host =>
      createFakeTransport({
        process: processOf(host),
        timer,
        travelTime,
        canPass: links.canPass,
        processAt: address => processes.get(hostOf(address)),
        connect: connections.connect,
      }),
    timerFor: host => processOf(host).timer,
    cut: (from, to, direction) => cutGroups([from], [to], direction),
    cutGroups,
    heal,
    healAll,
    isCut: (from, to) => !links.canPass(from, to),
    silence,
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
