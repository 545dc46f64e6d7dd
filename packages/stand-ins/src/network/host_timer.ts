/**
 * Timer service of one process, which can be paused, stopped and given a wall
 * clock offset. Other events of the process, such as messages, go through
 * `run`, so that a pause delays all of them.
 */
import {Milliseconds, TimerService} from '@kelpstep/runtime';

import {createFifo} from '../fifo';

/** A timer service with fault injection. */
export interface HostTimer extends TimerService {
  /**
   * Runs an action immediately, or on thaw if the process is frozen. Delayed
   * actions run in the order of the calls. After `stop` no action runs.
   */
  run(action: () => void): void;
  /** Pauses the process: its clocks advance but no action runs. */
  freeze(): void;
  /** Ends the pause and runs all delayed actions. */
  thaw(): void;
  isFrozen(): boolean;
  /** Stops the process: no action runs any more. */
  stop(): void;
  isStopped(): boolean;
  /** Sets the offset of the wall clock from that of the underlying timer. */
  setWallClockOffset(offset: Milliseconds): void;
}

/** Underlying timer and wall clock of a process. */
export interface HostTimerOptions {
  readonly timer: TimerService;
  /** Initial offset of the wall clock, positive if ahead; 0 by default. */
  readonly wallClockOffset?: Milliseconds;
}

/** Creates the timer service of one process. */
export function createHostTimer(options: HostTimerOptions): HostTimer {
  const {timer} = options;
  const pendingActions = createFifo<() => void>();
  let wallClockOffset = options.wallClockOffset ?? 0;
  let frozen = false;
  let stopped = false;

  function run(action: () => void): void {
    if (stopped) {
      return;
    }
    if (frozen || pendingActions.size() > 0) {
      pendingActions.push(action);
    } else {
      action();
    }
  }

  function thaw(): void {
    frozen = false;
    while (!frozen && !stopped) {
      const action = pendingActions.shift();
      if (action === undefined) {
        return;
      }
      action();
    }
  }

  function stop(): void {
    stopped = true;
    pendingActions.drain();
  }

  function after(delay: Milliseconds, listener: () => void) {
    let cancelled = false;
    function fire(): void {
      if (!cancelled) {
        listener();
      }
    }
    const cancel = timer.after(delay, () => run(fire));
    return () => {
      cancelled = true;
      cancel();
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

  return {
    now: timer.now,
    wallClock: () => timer.wallClock() + wallClockOffset,
    after,
    every,
    run,
    freeze: () => {
      frozen = true;
    },
    thaw,
    isFrozen: () => frozen,
    stop,
    isStopped: () => stopped,
    setWallClockOffset: offset => {
      wallClockOffset = offset;
    },
  };
}
