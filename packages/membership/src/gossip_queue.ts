/** Updates to send with the next messages, each a bounded number of times. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Queue of updates of one kind. */
export interface GossipQueue<T> {
  /** Adds an item and drops an older one with the same key. */
  add(key: string, item: T): void;
  /**
   * Selects the items for one message, the least often sent ones first, and
   * counts them as sent.
   */
  take(excludedKeys?: ReadonlySet<string>): T[];
  size(): number;
}

export interface GossipQueueOptions {
  readonly timer: TimerService;
  /** Maximum number of items in one message. */
  readonly itemsPerMessage: number;
  /** Maximum number of times that an item is sent. */
  readonly transmissions: () => number;
  /** Time after which an item is dropped even if it was sent less often. */
  readonly lifetime: Milliseconds;
}

interface QueuedItem<T> {
  readonly item: T;
  readonly addedAt: Milliseconds;
  sent: number;
}

export function createGossipQueue<T>(
  options: GossipQueueOptions,
): GossipQueue<T> {
  const {timer, itemsPerMessage, lifetime} = options;
  const queued = new Map<string, QueuedItem<T>>();

  function removeExpired(): void {
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
    removeExpired();
    const selected = [...queued]
      .filter(([key]) => !excludedKeys?.has(key))
      .map(([, entry]) => entry)
      .sort((left, right) => left.sent - right.sent)
      .slice(0, itemsPerMessage);
    return selected.map(entry => {
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
