/** Limits concurrent statements by slots; waiting statements are FIFO. */
import {createFifo} from '../fifo';

/** Limits of a pool; they may change between calls. */
export interface SlotLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/**
 * Removes the statement from the queue; does nothing once its slot is granted.
 */
export type CancelWait = () => void;

/** The statement slots of one database. */
export interface SlotPool {
  /**
   * Calls `onGranted` as soon as a slot is free, synchronously if one is free
   * now. Returns `undefined`, and never calls it, if the queue is full.
   */
  acquire(onGranted: () => void): CancelWait | undefined;
  /** Frees a slot and grants it to the next waiting statement. */
  release(): void;
  busy(): number;
  waiting(): number;
}

interface Waiter {
  readonly onGranted: () => void;
  cancelled: boolean;
}

function noop(): void {}

/** Creates a pool whose slots are all free. */
export function createSlotPool(limits: () => SlotLimits): SlotPool {
  const queue = createFifo<Waiter>();
  let busy = 0;
  let waiting = 0;
  let granting = false;

  function acquire(onGranted: () => void): CancelWait | undefined {
    const {slots, queueLimit} = limits();
    if (busy < slots && waiting === 0) {
      busy++;
      onGranted();
      return noop;
    }
    if (waiting >= queueLimit) {
      return undefined;
    }
    const waiter: Waiter = {onGranted, cancelled: false};
    queue.push(waiter);
    waiting++;
    return () => cancel(waiter);
  }

  function cancel(waiter: Waiter): void {
    if (!waiter.cancelled) {
      waiter.cancelled = true;
      waiting--;
    }
  }

  function release(): void {
    busy--;
    if (!granting) {
      granting = true;
      grant();
      granting = false;
    }
  }

  /**
   * Grants free slots in a loop: statements without service time finish
   * synchronously and must not nest the stack.
   */
  function grant(): void {
    while (busy < limits().slots) {
      const waiter = queue.shift();
      if (waiter === undefined) {
        return;
      }
      if (!waiter.cancelled) {
        cancel(waiter);
        busy++;
        waiter.onGranted();
      }
    }
  }

  return {acquire, release, busy: () => busy, waiting: () => waiting};
}
