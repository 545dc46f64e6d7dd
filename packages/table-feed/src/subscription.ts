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
  type Runtime,
  type Task,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {PresentProxy} from './distributor_row';
import {
  FEED_HEARTBEAT,
  FEED_NEWS,
  type News,
  feedSubscribe,
  newsSchema,
  unpackUpdates,
} from './feed_messages';
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
  /**
   * Milliseconds since the store answered whoever the news come from; `Infinity`
   * if that isn't known.
   */
  age(): Milliseconds;
  /** True while the other proxy answers. */
  isSubscribed(): boolean;
  end(): void;
}

/** Time for a connection and its first answer: some round trips. */
const CONNECT_TIMEOUT: Milliseconds = 400;
const SUBSCRIBE_TIMEOUT: Milliseconds = 1000;
/** Period of signs of life in the other direction. */
const HEARTBEAT_PERIOD: Milliseconds = 600;
/** News come each 600 ms; after so long without any the other one is silent. */
const SILENT_AFTER: Milliseconds = 1500;
const FIRST_RETRY: Milliseconds = 80;
const LONGEST_RETRY: Milliseconds = 800;
const RETRY_JITTER = 0.3;
const NOT_NEEDED = 'not needed';

/** Starts to subscribe. */
export function startSubscription(options: SubscriptionOptions): Subscription {
  const {runtime, transport, copies} = options;
  const {timer, random} = runtime;
  let connected: RpcPeer | undefined;
  let isSubscribed = false;
  let hasEnded = false;
  /** Time at which the store answered, by this proxy's clock. */
  let storeAnsweredAt = -Infinity;
  let retry = FIRST_RETRY;

  function setSubscribed(subscribed: boolean, reason: string): void {
    if (subscribed !== isSubscribed) {
      isSubscribed = subscribed;
      options.onSubscribed(subscribed, reason);
    }
  }

  function take(news: News): boolean {
    if (news.age !== undefined) {
      storeAnsweredAt = Math.max(storeAnsweredAt, timer.now() - news.age);
    }
    return unpackUpdates(news).every(
      update =>
        copies.find(({table}) => table === update.table)?.take(update) ?? true,
    );
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
      yield* waitAtMost(peer.closed, HEARTBEAT_PERIOD);
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
    retry = FIRST_RETRY;
    takeNews(peer, reply.val);
    setSubscribed(true, '');
    yield* stayConnected(peer);
    return yield* waitFor(peer.closed);
  }

  function* keepSubscribed(): Task<void> {
    for (;;) {
      setSubscribed(false, yield* subscribe());
      yield* sleep(random.jitter(retry, RETRY_JITTER));
      retry = Math.min(LONGEST_RETRY, retry * 2);
    }
  }

  const task = runtime.spawn(
    `subscribe to ${options.address}`,
    keepSubscribed(),
  );

  return {
    age: () => timer.now() - storeAnsweredAt,
    isSubscribed: () => isSubscribed,
    end() {
      hasEnded = true;
      task.cancel();
      connected?.close(NOT_NEEDED);
      setSubscribed(false, NOT_NEEDED);
    },
  };
}
