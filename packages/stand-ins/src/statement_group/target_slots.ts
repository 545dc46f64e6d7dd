/** Execution slots of a stand-in target. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Runs tasks in slots; tasks without a free slot wait in FIFO order. */
export interface TargetSlots {
  /**
   * Occupies a slot for a time, the duration of a statement by default, then
   * runs the task. Calls `refuse` instead if the queue is full.
   */
  run(task: () => void, refuse: () => void, time?: Milliseconds): void;
  busy(): number;
  /** Discards running and waiting tasks, as when the process ends. */
  clear(): void;
}

/** Maximum number of tasks that wait for a slot. */
const QUEUE_CAPACITY = 24;

/** Creates slots that are all free. */
export function createTargetSlots(
  timer: TimerService,
  slots: number,
  statementDuration: Milliseconds,
): TargetSlots {
  let busy = 0;
  let incarnationNumber = 0;
  let waiting: Array<() => void> = [];

  function start(task: () => void, time: Milliseconds): void {
    const startIncarnation = incarnationNumber;
    busy += 1;
    timer.after(time, () => {
      if (incarnationNumber === startIncarnation) {
        busy -= 1;
        task();
        waiting.shift()?.();
      }
    });
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
    busy: () => busy,
    clear() {
      incarnationNumber += 1;
      busy = 0;
      waiting = [];
    },
  };
}
