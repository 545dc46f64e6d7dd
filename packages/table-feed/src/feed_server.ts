/** Distributes tables to the proxies that subscribe to this one. */
import {type StorePosition, compareStorePositions} from '@kelpstep/platform';
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

import type {ProxyDescriptor} from './distributor_row';
import {
  FEED_UPDATE,
  type FeedMessage,
  HEARTBEAT_PERIOD_MS,
  feedSubscribe,
  packUpdates,
} from './feed_messages';
import type {TableCopy} from './table_copy';

export interface FeedServerOptions {
  readonly runtime: Runtime;
  readonly copies: readonly TableCopy[];
  /**
   * Time since a table was known to be up to date; `Infinity` if it never was.
   */
  age(table: string): Milliseconds;
}

/** Sends table updates to subscribers. */
export interface FeedServer {
  accept(connection: Connection): void;
  /**
   * Sends each subscriber the ages of the copies and the updates that it lacks.
   */
  publish(): void;
  /** Proxies that subscribe to this one. */
  subscribers(): readonly ProxyDescriptor[];
  close(): void;
}

interface Subscriber {
  readonly peer: RpcPeer;
  readonly proxy: ProxyDescriptor;
  /**
   * Positions of the subscriber's copies once all sent updates have arrived, by
   * table.
   */
  readonly sent: Map<string, StorePosition>;
}

type CopyStates = Pick<FeedMessage, 'ages' | 'eras'>;

function describePosition(position: StorePosition | undefined): string {
  return position === undefined ? '' : `${position.era}.${position.version}`;
}

/** A subscriber without a heartbeat for this long counts as disconnected. */
const SUBSCRIBER_TIMEOUT_MS: Milliseconds = 2000;

/** Creates a server; connections are passed to `accept`. */
export function createFeedServer(options: FeedServerOptions): FeedServer {
  const {copies} = options;
  const {timer} = options.runtime;
  const subscribers = new Map<RpcPeer, Subscriber>();
  /**
   * Cache by the positions before and after: most subscribers need the same
   * updates.
   */
  const packedByPositions = new Map<string, ReturnType<typeof packUpdates>>();

  function packMissing(sent: ReadonlyMap<string, StorePosition>) {
    const key = copies
      .map(({table, position}) =>
        [sent.get(table), position()].map(describePosition).join(' to '),
      )
      .join();
    const known = packedByPositions.get(key);
    if (known !== undefined) {
      return known;
    }
    const updates = copies.flatMap(
      copy => copy.updateSince(sent.get(copy.table)) ?? [],
    );
    const created = packUpdates(updates);
    packedByPositions.set(key, created);
    return created;
  }

  function ages(): FeedMessage['ages'] {
    const entries = copies.map(
      ({table}) => [table, Math.ceil(options.age(table))] as const,
    );
    return Object.fromEntries(
      entries.filter(([, age]) => Number.isFinite(age)),
    );
  }

  /** Eras after the first one, by table. */
  function eras(): FeedMessage['eras'] {
    const entries = copies.map(
      ({table, position}) => [table, position()?.era ?? 0] as const,
    );
    return Object.fromEntries(entries.filter(([, era]) => era > 0));
  }

  /** Ages and eras of the copies, the same for all subscribers. */
  function copyStates(): CopyStates {
    return {ages: ages(), eras: eras()};
  }

  function messageFor({sent}: Subscriber, states: CopyStates): FeedMessage {
    const packedUpdates = packMissing(sent);
    for (const copy of copies) {
      const position = copy.position();
      const before = sent.get(copy.table);
      const isAhead =
        position !== undefined &&
        (before === undefined || compareStorePositions(position, before) > 0);
      if (isAhead) {
        sent.set(copy.table, position);
      }
    }
    return {...states, ...packedUpdates};
  }

  function publish(): void {
    packedByPositions.clear();
    const states = copyStates();
    for (const subscriber of subscribers.values()) {
      subscriber.peer.notify(FEED_UPDATE, messageFor(subscriber, states));
    }
    packedByPositions.clear();
  }

  function closeUnresponsive(): void {
    for (const {peer} of [...subscribers.values()]) {
      if (timer.now() - peer.lastHeardAt() > SUBSCRIBER_TIMEOUT_MS) {
        peer.close('silent');
      }
    }
  }

  function accept(connection: Connection): void {
    const handlers = createHandlerTable().handle(
      feedSubscribe,
      ({subscriber: proxy, versions, eras}, from) => {
        const sent = new Map(
          Object.entries(versions).map(([table, version]) => [
            table,
            {era: eras[table] ?? 0, version},
          ]),
        );
        const subscriber: Subscriber = {peer: from, proxy, sent};
        subscribers.set(from, subscriber);
        return settledFuture(Ok(messageFor(subscriber, copyStates())));
      },
    );
    const peer = createRpcPeer({connection, timer, handlers});
    peer.closed.onSettled(() => subscribers.delete(peer));
  }

  const stopTicks = timer.every(HEARTBEAT_PERIOD_MS, () => {
    closeUnresponsive();
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
