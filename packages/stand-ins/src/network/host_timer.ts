/**
 * The timer service of one process that can be paused, killed, or given a
 * wall clock of its own. Whatever else reaches the process, such as messages,
 * passes through `run`, so that a pause holds all of it back.
 */
import {Milliseconds, TimerService} from '@kelpstep/runtime';

import {createFifo} from '../fifo';

/** A timer service with the faults of its host. */
export interface HostTimer extends TimerService {
  /**
   * Runs an action: at once, on thaw while the host is frozen, never after
   * `stop`. Actions that waited run in the order in which they came.
   */
  run(action: () => void): void;
  /** Pauses the process: clocks go on, nothing runs. */
  freeze(): void;
  /** Ends the pause; all that fell due meanwhile happens now. */
  thaw(): void;
  isFrozen(): boolean;
  /** Ends the process: nothing of it runs any more. */
  stop(): void;
  isStopped(): boolean;
  /** Shifts the wall clock against the timer underneath. */
  setWallClockOffset(offset: Milliseconds): void;
}

/** What a host timer is made of. */
export interface HostTimerOptions {
  readonly timer: TimerService;
  /** Milliseconds that the wall clock is ahead; 0 by default. */
  readonly wallClockOffset?: Milliseconds;
}

/** Creates the timer service of one process. */
export function createHostTimer(options: HostTimerOptions): HostTimer {
  const {timer} = options;
  const waiting = createFifo<() => void>();
  let wallClockOffset = options.wallClockOffset ?? 0;
  let frozen = false;
  let stopped = false;

  function run(action: () => void): void {
    if (stopped) {
      return;
    }
    if (frozen || waiting.size() > 0) {
      waiting.push(action);
    } else {
      action();
    }
  }

  function thaw(): void {
    frozen = false;
    while (!frozen && !stopped) {
      const action = waiting.shift();
      if (action === undefined) {
        return;
      }
      action();
    }
  }

  function stop(): void {
    stopped = true;
    waiting.drain();
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
