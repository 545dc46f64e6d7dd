/** Hands tables on to the proxies that subscribe to this one. */
import {
  type Connection,
  type RpcPeer,
  createHandlerTable,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  type Milliseconds,
  type Runtime,
  settledFuture,
} from '@kelpstep/runtime';
import {Ok} from 'ts-results';

import type {PresentProxy} from './distributor_row';
import {
  FEED_NEWS,
  LIFE_PERIOD,
  type News,
  feedSubscribe,
  packUpdates,
} from './feed_messages';
import type {TableCopy} from './table_copy';

/** What a feed server is made of. */
export interface FeedServerOptions {
  readonly runtime: Runtime;
  readonly copies: readonly TableCopy[];
  /** Time since a table was known to be complete; `Infinity` if it never was. */
  age(table: string): Milliseconds;
}

/** Serves subscribers. */
export interface FeedServer {
  accept(connection: Connection): void;
  /** Sends each subscriber what it lacks. */
  publish(): void;
  /** Proxies that are subscribed. */
  subscribers(): readonly PresentProxy[];
  close(): void;
}

interface Subscriber {
  readonly peer: RpcPeer;
  readonly proxy: PresentProxy;
  /** Versions that it has, by table, once what was sent has arrived. */
  readonly sent: Map<string, number>;
}

/** A subscriber that sent no sign of life for so long is gone. */
const GONE_AFTER: Milliseconds = 2000;

/** Creates a server; connections are handed to it. */
export function createFeedServer(options: FeedServerOptions): FeedServer {
  const {copies} = options;
  const {timer} = options.runtime;
  const subscribers = new Map<RpcPeer, Subscriber>();
  /** By what is lacked up to which versions: most subscribers lack the same. */
  const packed = new Map<string, ReturnType<typeof packUpdates>>();

  function packMissing(sent: ReadonlyMap<string, number>) {
    const key = copies
      .map(({table, version}) => `${sent.get(table)} to ${version()}`)
      .join();
    const known = packed.get(key);
    if (known !== undefined) {
      return known;
    }
    const updates = copies.flatMap(
      copy => copy.updateSince(sent.get(copy.table)) ?? [],
    );
    const created = packUpdates(updates);
    packed.set(key, created);
    return created;
  }

  function ages(): News['ages'] {
    const entries = copies.map(
      ({table}) => [table, Math.ceil(options.age(table))] as const,
    );
    return Object.fromEntries(
      entries.filter(([, age]) => Number.isFinite(age)),
    );
  }

  function newsFor({sent}: Subscriber, knownAges: News['ages']): News {
    const news = packMissing(sent);
    for (const copy of copies) {
      const version = copy.version();
      if (version !== undefined) {
        sent.set(copy.table, Math.max(version, sent.get(copy.table) ?? 0));
      }
    }
    return {ages: knownAges, ...news};
  }

  function publish(): void {
    packed.clear();
    const knownAges = ages();
    for (const subscriber of subscribers.values()) {
      subscriber.peer.notify(FEED_NEWS, newsFor(subscriber, knownAges));
    }
    packed.clear();
  }

  function dropSilent(): void {
    for (const {peer} of [...subscribers.values()]) {
      if (timer.now() - peer.lastHeardAt() > GONE_AFTER) {
        peer.close('silent');
      }
    }
  }

  function accept(connection: Connection): void {
    const handlers = createHandlerTable().handle(
      feedSubscribe,
      ({subscriber: proxy, versions}, from) => {
        const sent = new Map(Object.entries(versions));
        const subscriber: Subscriber = {peer: from, proxy, sent};
        subscribers.set(from, subscriber);
        return settledFuture(Ok(newsFor(subscriber, ages())));
      },
    );
    const peer = createRpcPeer({connection, timer, handlers});
    peer.closed.onSettled(() => subscribers.delete(peer));
  }

  const stopTicks = timer.every(LIFE_PERIOD, () => {
    dropSilent();
    publish();
  });

  return {
    accept,
    publish,
    subscribers: () => [...subscribers.values()].map(({proxy}) => proxy),
    close() {
      stopTicks();
      [...subscribers.keys()].forEach(peer => peer.close('stopping'));
    },
  };
}
