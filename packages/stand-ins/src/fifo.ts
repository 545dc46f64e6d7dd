/** A first-in, first-out queue. */

/** A queue; `push` and `shift` take amortized constant time. */
export interface Fifo<T> {
  push(item: T): void;
  /** Removes and returns the oldest item; `undefined` if there is none. */
  shift(): T | undefined;
  size(): number;
  /** Removes and returns all items, oldest first. */
  drain(): T[];
}

/** Number of unused entries at the front that allows compacting the array. */
const COMPACTION_THRESHOLD = 1024;

/** Creates an empty queue. */
export function createFifo<T>(): Fifo<T> {
  let items: Array<T | undefined> = [];
  let head = 0;

  function shift(): T | undefined {
    if (head >= items.length) {
      return undefined;
    }
    const item = items[head];
    items[head] = undefined;
    head++;
    if (head === items.length) {
      items = [];
      head = 0;
    } else if (head > COMPACTION_THRESHOLD && head * 2 > items.length) {
      items = items.slice(head);
      head = 0;
    }
    return item;
  }

  function drain(): T[] {
    const rest = items.slice(head) as T[];
    items = [];
    head = 0;
    return rest;
  }

  return {
    push: item => items.push(item),
    shift,
    size: () => items.length - head,
    drain,
  };
}
