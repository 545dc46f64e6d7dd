/** Execution slots of a stand-in target. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Runs tasks in slots; tasks without a free slot wait in FIFO order. */
export interface TargetSlots {
  /**
   * Occupies a slot for a time, the duration of a statement by default, then
   * runs the task. Calls `refuse` instead if the queue is full.
   */
  run(task: () => void, refuse: () => void, time?: Milliseconds): void;
  /** Occupies a slot until the returned function is called. */
  hold(): () => void;
  busy(): number;
  /** Discards running and waiting tasks, as when the process ends. */
  clear(): void;
}

export interface TargetSlotsOptions {
  readonly timer: TimerService;
  readonly slots: number;
  readonly statementDuration: Milliseconds;
}

/** Maximum number of tasks that wait for a slot. */
const QUEUE_CAPACITY = 24;

/** Creates slots that are all free. */
export function createTargetSlots({
  timer,
  slots,
  statementDuration,
}: TargetSlotsOptions): TargetSlots {
  let busy = 0;
  let incarnationNumber = 0;
  let waiting: Array<() => void> = [];
  const releases = new Set<() => void>();

  function start(task: () => void, time: Milliseconds): void {
    const startIncarnation = incarnationNumber;
    busy += 1;
    timer.after(time, () => {
      if (incarnationNumber === startIncarnation) {
        busy -= 1;
        task();
        startNext();
      }
    });
  }

  /** Starts a waiting task, unless the task that ended holds its slot. */
  function startNext(): void {
    if (releases.size === 0 || busy < slots) {
      waiting.shift()?.();
    }
  }

  return {
    run(task, refuse, time = statementDuration) {
      if (busy < slots) {
        start(task, time);
      } else if (waiting.length < QUEUE_CAPACITY) {
        waiting.push(() => start(task, time));
      } else {
        refuse();
      }
    },
    hold() {
      function release(): void {
        if (releases.delete(release)) {
          busy -= 1;
          startNext();
        }
      }
      busy += 1;
      releases.add(release);
      return release;
    },
    busy: () => busy,
    clear() {
      releases.clear();
      incarnationNumber += 1;
      busy = 0;
      waiting = [];
    },
  };
}
