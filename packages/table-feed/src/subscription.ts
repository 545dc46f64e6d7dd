/**
 * Receives table updates from one other proxy and reconnects until it is ended.
 */
import {
  type Address,
  type Connection,
  type RpcPeer,
  type Transport,
  type TransportError,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  type Milliseconds,
  type RetryBackoffBounds,
  type Runtime,
  type Task,
  retryBackoff,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {ProxyDescriptor} from './distributor_row';
import {
  FEED_HEARTBEAT,
  FEED_UPDATE,
  type CopyPositions,
  type FeedMessage,
  HEARTBEAT_PERIOD_MS,
  agesByEra,
  feedMessageSchema,
  feedSubscribe,
  unpackUpdates,
} from './feed_messages';
import {createConfirmations} from './freshness';
import type {TableCopy} from './table_copy';

export interface SubscriptionOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: ProxyDescriptor;
  readonly address: Address;
  readonly copies: readonly TableCopy[];
  onSubscriptionChange(isSubscribed: boolean, reason: string): void;
}

/** A subscription that reconnects until it is ended. */
export interface Subscription {
  /**
   * Time since the source confirmed a table as up to date; `Infinity` if never.
   */
  age(table: string): Milliseconds;
  end(): void;
}

/** Time-out for connecting, which covers its round trips. */
const CONNECT_TIMEOUT_MS: Milliseconds = 400;
/** Time-out for the first reply, which covers its round trip. */
const SUBSCRIBE_TIMEOUT_MS: Milliseconds = 1000;
/**
 * Time without a message after which the source counts as unresponsive; it
 * sends an update at least every `HEARTBEAT_PERIOD_MS`.
 */
const UNRESPONSIVE_AFTER_MS: Milliseconds = 1500;
const RETRY_DELAY_BOUNDS: RetryBackoffBounds = {first: 80, longest: 800};
const NOT_NEEDED = 'not needed';

export function startSubscription(options: SubscriptionOptions): Subscription {
  const {runtime, transport, copies} = options;
  const {timer, random} = runtime;
  let currentPeer: RpcPeer | undefined;
  let isSubscribed = false;
  let hasEnded = false;
  const confirmations = createConfirmations(timer);
  let failures = 0;

  function setSubscribed(subscribed: boolean, reason: string): void {
    if (subscribed !== isSubscribed) {
      isSubscribed = subscribed;
      options.onSubscriptionChange(subscribed, reason);
    }
  }

  function eraOf(table: string): number {
    return copies.find(copy => copy.table === table)?.position()?.era ?? 0;
  }

  /** Returns false if a copy lacks updates that precede this message. */
  function applyMessage(message: FeedMessage): boolean {
    const isApplied = unpackUpdates(message).every(
      update =>
        copies.find(({table}) => table === update.table)?.take(update) ?? true,
    );
    if (isApplied) {
      for (const [table, age] of agesByEra(message, eraOf)) {
        confirmations.confirm(table, timer.now() - age);
      }
    }
    return isApplied;
  }

  function handleMessage(peer: RpcPeer, parameters: unknown): void {
    const parsed = feedMessageSchema.safeParse(parameters);
    if (!parsed.success) {
      peer.close('news that can not be read');
    } else if (!applyMessage(parsed.data)) {
      peer.close('news with a gap');
    }
  }

  /** Versions and eras of the copies, by table. */
  function positions(): CopyPositions {
    const versions: Record<string, number> = {};
    const eras: Record<string, number> = {};
    for (const copy of copies) {
      const position = copy.position();
      if (position !== undefined) {
        versions[copy.table] = position.version;
        eras[copy.table] = position.era;
      }
    }
    return {versions, eras};
  }

  function* maintainConnection(peer: RpcPeer): Task<void> {
    while (!peer.closed.isSettled()) {
      peer.notify(FEED_HEARTBEAT, {});
      yield* waitWithTimeout(peer.closed, HEARTBEAT_PERIOD_MS);
      if (timer.now() - peer.lastHeardAt() > UNRESPONSIVE_AFTER_MS) {
        peer.close('silent');
      }
    }
  }

  /**
   * Closes a connection that opens after the task was cancelled while dialling.
   */
  function closeIfEnded(opened: Result<Connection, TransportError>): void {
    if (hasEnded && opened.ok) {
      opened.val.close(NOT_NEEDED);
    }
  }

  /** Subscribes until the connection ends; returns the reason of the end. */
  function* subscribe(): Task<string> {
    const dialled = transport.dial(options.address, CONNECT_TIMEOUT_MS);
    dialled.onSettled(closeIfEnded);
    const opened = yield* waitFor(dialled);
    if (opened.err) {
      return opened.val.message;
    }
    const peer = createRpcPeer({connection: opened.val, timer});
    currentPeer = peer;
    peer.onNotification(FEED_UPDATE, message => handleMessage(peer, message));
    const subscriber = options.self;
    const reply = yield* waitFor(
      peer.request(
        feedSubscribe,
        {subscriber, ...positions()},
        SUBSCRIBE_TIMEOUT_MS,
      ),
    );
    if (reply.err) {
      peer.close('not subscribed');
      return reply.val.failure.message;
    }
    failures = 0;
    handleMessage(peer, reply.val);
    setSubscribed(true, '');
    yield* maintainConnection(peer);
    return yield* waitFor(peer.closed);
  }

  function* maintainSubscription(): Task<void> {
    for (;;) {
      setSubscribed(false, yield* subscribe());
      yield* sleep(retryBackoff(RETRY_DELAY_BOUNDS, failures, random));
      failures += 1;
    }
  }

  const task = runtime.spawn(
    `subscribe to ${options.address}`,
    maintainSubscription(),
  );

  return {
    age: confirmations.age,
    end() {
      hasEnded = true;
      task.cancel();
      currentPeer?.close(NOT_NEEDED);
      setSubscribed(false, NOT_NEEDED);
    },
  };
}
