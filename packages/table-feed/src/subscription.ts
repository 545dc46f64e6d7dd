/** Takes the tables' news from one other proxy, for as long as it is wanted. */
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
  type RetryPauseBounds,
  type Runtime,
  type Task,
  retryPause,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {PresentProxy} from './distributor_row';
import {
  FEED_HEARTBEAT,
  FEED_NEWS,
  LIFE_PERIOD,
  type News,
  feedSubscribe,
  newsSchema,
  unpackUpdates,
} from './feed_messages';
import {createConfirmations} from './freshness';
import type {TableCopy} from './table_copy';

/** What a subscription is made of. */
export interface SubscriptionOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: PresentProxy;
  readonly address: Address;
  readonly copies: readonly TableCopy[];
  onSubscribed(isSubscribed: boolean, reason: string): void;
}

/** A subscription that is kept up until it is ended. */
export interface Subscription {
  /** Time since its news of a table were complete; `Infinity` without any. */
  age(table: string): Milliseconds;
  end(): void;
}

/** Time for a connection and its first answer: some round trips. */
const CONNECT_TIMEOUT: Milliseconds = 400;
const SUBSCRIBE_TIMEOUT: Milliseconds = 1000;
/** News come at least each `LIFE_PERIOD`: after so long the other one is silent. */
const SILENT_AFTER: Milliseconds = 1500;
const RETRIES: RetryPauseBounds = {first: 80, longest: 800};
const NOT_NEEDED = 'not needed';

/** Starts to subscribe. */
export function startSubscription(options: SubscriptionOptions): Subscription {
  const {runtime, transport, copies} = options;
  const {timer, random} = runtime;
  let connected: RpcPeer | undefined;
  let isSubscribed = false;
  let hasEnded = false;
  const confirmations = createConfirmations(timer);
  let failures = 0;

  function setSubscribed(subscribed: boolean, reason: string): void {
    if (subscribed !== isSubscribed) {
      isSubscribed = subscribed;
      options.onSubscribed(subscribed, reason);
    }
  }

  /** False if the copies lack what came before these news. */
  function take(news: News): boolean {
    const isTaken = unpackUpdates(news).every(
      update =>
        copies.find(({table}) => table === update.table)?.take(update) ?? true,
    );
    if (isTaken) {
      for (const [table, age] of Object.entries(news.ages)) {
        confirmations.confirm(table, timer.now() - age);
      }
    }
    return isTaken;
  }

  function takeNews(peer: RpcPeer, parameters: unknown): void {
    const parsed = newsSchema.safeParse(parameters);
    if (!parsed.success) {
      peer.close('news that can not be read');
    } else if (!take(parsed.data)) {
      peer.close('news with a gap');
    }
  }

  function versions(): Record<string, number> {
    return Object.fromEntries(
      copies.flatMap(copy => {
        const version = copy.version();
        return version === undefined ? [] : [[copy.table, version] as const];
      }),
    );
  }

  function* stayConnected(peer: RpcPeer): Task<void> {
    while (!peer.closed.isSettled()) {
      peer.notify(FEED_HEARTBEAT, {});
      yield* waitAtMost(peer.closed, LIFE_PERIOD);
      if (timer.now() - peer.lastHeardAt() > SILENT_AFTER) {
        peer.close('silent');
      }
    }
  }

  /** A task that was cancelled while it dialled doesn't close what it opened. */
  function closeIfEnded(opened: Result<Connection, TransportError>): void {
    if (hasEnded && opened.ok) {
      opened.val.close(NOT_NEEDED);
    }
  }

  /** Gives the reason why it ended. */
  function* subscribe(): Task<string> {
    const dialled = transport.dial(options.address, CONNECT_TIMEOUT);
    dialled.onSettled(closeIfEnded);
    const opened = yield* waitFor(dialled);
    if (opened.err) {
      return opened.val.message;
    }
    const peer = createRpcPeer({connection: opened.val, timer});
    connected = peer;
    peer.onNotification(FEED_NEWS, news => takeNews(peer, news));
    const subscriber = options.self;
    const reply = yield* waitFor(
      peer.request(
        feedSubscribe,
        {subscriber, versions: versions()},
        SUBSCRIBE_TIMEOUT,
      ),
    );
    if (reply.err) {
      peer.close('not subscribed');
      return reply.val.failure.message;
    }
    failures = 0;
    takeNews(peer, reply.val);
    setSubscribed(true, '');
    yield* stayConnected(peer);
    return yield* waitFor(peer.closed);
  }

  function* keepSubscribed(): Task<void> {
    for (;;) {
      setSubscribed(false, yield* subscribe());
      yield* sleep(retryPause(RETRIES, failures, random));
      failures += 1;
    }
  }

  const task = runtime.spawn(
    `subscribe to ${options.address}`,
    keepSubscribed(),
  );

  return {
    age: confirmations.age,
    end() {
      hasEnded = true;
      task.cancel();
      connected?.close(NOT_NEEDED);
      setSubscribed(false, NOT_NEEDED);
    },
  };
}
