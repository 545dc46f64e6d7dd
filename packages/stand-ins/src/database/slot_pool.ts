/** Slots: how many statements run at a time; the others wait in order. */
import {createFifo} from '../fifo';

/** Limits of a pool; read anew at each use. */
export interface SlotLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/** Gives up waiting for a slot; does nothing once it is granted. */
export type CancelWait = () => void;

/** The slots of one database. */
export interface SlotPool {
  /**
   * Calls `onGranted` once there is a slot, at once if one is free. Gives
   * `undefined`, and never calls it, if the queue is full.
   */
  acquire(onGranted: () => void): CancelWait | undefined;
  /** Gives a slot back. */
  release(): void;
  busy(): number;
  waiting(): number;
}

interface Waiter {
  readonly onGranted: () => void;
  cancelled: boolean;
}

function cancelNothing(): void {}

/** Creates a pool with all slots free. */
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
      return cancelNothing;
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

  /** A loop, so that statements without service time keep the stack flat. */
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
