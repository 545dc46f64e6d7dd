/** Timer service with virtual time, which advances only on request. */
import {Milliseconds, TimerService} from './timer';

/** Wall clock at the start of virtual time: 2026-01-01T00:00:00Z. */
export const VIRTUAL_EPOCH_MS: Milliseconds = Date.UTC(2026, 0, 1);

/**
 * Minimum of positive delays. A remainder from rounding can be smaller than the
 * precision of `now`; waiting for it would never advance the time.
 */
const MINIMUM_DELAY_MS: Milliseconds = 0.001;

/** A timer service whose time is advanced by its user. */
export interface VirtualTimer extends TimerService {
  /** Advances the time and runs all timers that fall due, in order. */
  advance(duration: Milliseconds): void;
  /** Advances to the next timer and runs it. Returns false if there is none. */
  step(): boolean;
  /** Runs timers until the condition holds; false if `limit` passes first. */
  runUntil(condition: () => boolean, limit: Milliseconds): boolean;
}

interface TimerEntry {
  readonly due: Milliseconds;
  readonly order: number;
  readonly listener: () => void;
  cancelled: boolean;
}

function isBefore(left: TimerEntry, right: TimerEntry): boolean {
  return (
    left.due < right.due || (left.due === right.due && left.order < right.order)
  );
}

/** Creates a binary min-heap of timers, ordered by due time. */
function createHeap() {
  const entries: TimerEntry[] = [];

  function at(index: number): TimerEntry {
    return entries[index] as TimerEntry;
  }

  function swap(left: number, right: number): void {
    const entry = at(left);
    entries[left] = at(right);
    entries[right] = entry;
  }

  function push(entry: TimerEntry): void {
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

  function pop(): TimerEntry | undefined {
    const top = entries[0];
    const last = entries.pop();
    if (top === undefined || last === undefined || top === last) {
      return top;
    }
    entries[0] = last;
    siftDown();
    return top;
  }

  function siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let smallest = index;
      if (left < entries.length && isBefore(at(left), at(smallest))) {
        smallest = left;
      }
      if (right < entries.length && isBefore(at(right), at(smallest))) {
        smallest = right;
      }
      if (smallest === index) {
        return;
      }
      swap(index, smallest);
      index = smallest;
    }
  }

  return {push, pop, peek: () => entries[0]};
}

/** Creates a virtual timer at monotonic time 0. */
export function createVirtualTimer(): VirtualTimer {
  const heap = createHeap();
  let time: Milliseconds = 0;
  let nextOrder = 0;

  function after(delay: Milliseconds, listener: () => void) {
    const entry: TimerEntry = {
      due: delay > 0 ? time + Math.max(delay, MINIMUM_DELAY_MS) : time,
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

  /** Removes cancelled timers from the top and returns the next active one. */
  function next(): TimerEntry | undefined {
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
      // Each iteration runs one timer.
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
    wallClock: () => VIRTUAL_EPOCH_MS + Math.floor(time),
    after,
    every,
    advance,
    step: () => runNext(Infinity),
    runUntil,
  };
}
