/** Timer service whose time moves only when a test moves it. */
import {Milliseconds, TimerService} from './timer';

/** Wall clock at the start of virtual time: 2026-01-01T00:00:00Z. */
export const VIRTUAL_EPOCH: Milliseconds = Date.UTC(2026, 0, 1);

/**
 * A positive delay moves time at least so far. Else a rest that is left by
 * rounding, smaller than what `now` can show, would be waited for for ever.
 */
const SHORTEST_DELAY: Milliseconds = 0.001;

/** A timer service with the means to move its time. */
export interface VirtualTimer extends TimerService {
  /** Runs all that falls due within the next milliseconds, in order. */
  advance(duration: Milliseconds): void;
  /** Runs the next timer that is due. Returns false if there is none. */
  step(): boolean;
  /** Steps until the condition holds; false if `limit` passes first. */
  runUntil(condition: () => boolean, limit: Milliseconds): boolean;
}

interface Entry {
  readonly due: Milliseconds;
  readonly order: number;
  readonly listener: () => void;
  cancelled: boolean;
}

function isBefore(left: Entry, right: Entry): boolean {
  return (
    left.due < right.due || (left.due === right.due && left.order < right.order)
  );
}

/** Binary heap of entries, the earliest first. */
function createHeap() {
  const entries: Entry[] = [];

  function at(index: number): Entry {
    return entries[index] as Entry;
  }

  function swap(left: number, right: number): void {
    const entry = at(left);
    entries[left] = at(right);
    entries[right] = entry;
  }

  function push(entry: Entry): void {
    entries.push(entry);
    let index = entries.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(at(index), at(parent))) {
        return;
      }
      swap(index, parent);
      index = parent;
    }
  }

  function pop(): Entry | undefined {
    const top = entries[0];
    const last = entries.pop();
    if (top === undefined || last === undefined || top === last) {
      return top;
    }
    entries[0] = last;
    sink();
    return top;
  }

  function sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < entries.length && isBefore(at(left), at(least))) {
        least = left;
      }
      if (right < entries.length && isBefore(at(right), at(least))) {
        least = right;
      }
      if (least === index) {
        return;
      }
      swap(index, least);
      index = least;
    }
  }

  return {push, pop, peek: () => entries[0]};
}

/** Creates a virtual timer at monotonic time zero. */
export function createVirtualTimer(): VirtualTimer {
  const heap = createHeap();
  let time: Milliseconds = 0;
  let nextOrder = 0;

  function after(delay: Milliseconds, listener: () => void) {
    const entry: Entry = {
      due: delay > 0 ? time + Math.max(delay, SHORTEST_DELAY) : time,
      order: nextOrder++,
      listener,
      cancelled: false,
    };
    heap.push(entry);
    return () => {
      entry.cancelled = true;
    };
  }

  function every(period: Milliseconds, listener: () => void) {
    let cancel = after(period, tick);
    function tick(): void {
      cancel = after(period, tick);
      listener();
    }
    return () => cancel();
  }

  /** Drops cancelled entries from the top, then gives the first live one. */
  function next(): Entry | undefined {
    let entry = heap.peek();
    while (entry !== undefined && entry.cancelled) {
      heap.pop();
      entry = heap.peek();
    }
    return entry;
  }

  function runNext(limit: Milliseconds): boolean {
    const entry = next();
    if (entry === undefined || entry.due > limit) {
      return false;
    }
    heap.pop();
    time = entry.due;
    entry.listener();
    return true;
  }

  function advance(duration: Milliseconds): void {
    const end = time + duration;
    while (runNext(end)) {
      // Each turn runs one entry.
    }
    time = end;
  }

  function runUntil(condition: () => boolean, limit: Milliseconds): boolean {
    const end = time + limit;
    while (!condition()) {
      if (!runNext(end)) {
        time = end;
        return condition();
      }
    }
    return true;
  }

  return {
    now: () => time,
    wallClock: () => VIRTUAL_EPOCH + Math.floor(time),
    after,
    every,
    advance,
    step: () => runNext(Infinity),
    runUntil,
  };
}
