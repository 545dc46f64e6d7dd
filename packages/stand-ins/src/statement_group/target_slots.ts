/** The slots of a stand-in target. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Runs work in slots; what finds none waits in order. */
export interface TargetSlots {
  /** Runs work that takes as long as statements do, or another time. */
  run(work: () => void, refuse: () => void, time?: Milliseconds): void;
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

  function start(work: () => void, time: Milliseconds): void {
    const startedIn = life;
    busy += 1;
    timer.after(time, () => {
      if (life === startedIn) {
        busy -= 1;
        work();
        waiting.shift()?.();
      }
    });
  }

  return {
    run(work, refuse, time = workTime) {
      if (busy < slots) {
        start(work, time);
      } else if (waiting.length < QUEUE_CAPACITY) {
        waiting.push(() => start(work, time));
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
