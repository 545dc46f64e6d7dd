/** The slots of a stand-in target. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Runs work in slots; what finds none waits in order. */
export interface TargetSlots {
  run(work: () => void, refuse: () => void): void;
  busy(): number;
  /** Forgets all work, as when the process ends. */
  clear(): void;
}

/** Statements that wait for a slot before the target refuses more. */
const QUEUE_CAPACITY = 24;

/** Creates free slots. */
export function createTargetSlots(
  timer: TimerService,
  slots: number,
  workTime: Milliseconds,
): TargetSlots {
  let busy = 0;
  let life = 0;
  let waiting: Array<() => void> = [];

  function start(work: () => void): void {
    const startedIn = life;
    busy += 1;
    timer.after(workTime, () => {
      if (life === startedIn) {
        busy -= 1;
        work();
        waiting.shift()?.();
      }
    });
  }

  return {
    run(work, refuse) {
      if (busy < slots) {
        start(work);
      } else if (waiting.length < QUEUE_CAPACITY) {
        waiting.push(() => start(work));
      } else {
        refuse();
      }
    },
    busy: () => busy,
    clear() {
      life += 1;
      busy = 0;
      waiting = [];
    },
  };
}
