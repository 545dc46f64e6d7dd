/** News that is passed on with the next messages, each a bounded number of times. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** News of one kind. */
export interface GossipQueue<T> {
  /** Adds news; older news under the same key is dropped. */
  add(key: string, item: T): void;
  /** The news for one message, what was sent least first. */
  take(excludedKeys?: ReadonlySet<string>): T[];
  size(): number;
}

/** Bounds of a queue. */
export interface GossipQueueOptions {
  readonly timer: TimerService;
  /** Items in one message. */
  readonly itemsPerMessage: number;
  /** How often an item is sent. */
  readonly transmissions: () => number;
  /** After this time an item is dropped in any case. */
  readonly lifetime: Milliseconds;
}

interface QueuedItem<T> {
  readonly item: T;
  readonly addedAt: Milliseconds;
  sent: number;
}

/** Creates an empty queue. */
export function createGossipQueue<T>(
  options: GossipQueueOptions,
): GossipQueue<T> {
  const {timer, itemsPerMessage, lifetime} = options;
  const queued = new Map<string, QueuedItem<T>>();

  function dropSpent(): void {
    const transmissions = options.transmissions();
    const oldest = timer.now() - lifetime;
    for (const [key, {sent, addedAt}] of queued) {
      if (sent >= transmissions || addedAt < oldest) {
        queued.delete(key);
      }
    }
  }

  function take(excludedKeys?: ReadonlySet<string>): T[] {
    if (queued.size === 0) {
      return [];
    }
    dropSpent();
    const chosen = [...queued]
      .filter(([key]) => !excludedKeys?.has(key))
      .map(([, entry]) => entry)
      .sort((left, right) => left.sent - right.sent)
      .slice(0, itemsPerMessage);
    return chosen.map(entry => {
      entry.sent++;
      return entry.item;
    });
  }

  return {
    add(key, item) {
      queued.set(key, {item, addedAt: timer.now(), sent: 0});
    },
    take,
    size: () => queued.size,
  };
}
