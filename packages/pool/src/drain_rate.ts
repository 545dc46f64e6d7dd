/**
 * How much slot time a target really gives this proxy per millisecond while
 * requests wait. The concurrency limit overestimates it when other proxies
 * take the slots and requests are refused for want of one.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Measures the rate at which waiting work is done. */
export interface DrainRate {
  /** Work ended; `isSaturated` if other requests wait at that time. */
  observe(work: Milliseconds, now: Milliseconds, isSaturated: boolean): void;
  /** Statements that run at a time on average; undefined if not known. */
  current(now: Milliseconds): number | undefined;
}

const DECAY = 0.95;
const MINIMUM_SAMPLES = 5;
/** A rate measured longer ago says nothing about now. */
const VALIDITY: Milliseconds = 1_000;

/** Creates a measure without samples. */
export function createDrainRate(): DrainRate {
  let saturatedSince: Milliseconds | undefined;
  let work = 0;
  let time = 0;
  let samples = 0;
  let measuredAt = -Infinity;

  function forgetIfOld(now: Milliseconds): void {
    if (now - measuredAt > VALIDITY) {
      work = 0;
      time = 0;
      samples = 0;
    }
  }

  return {
    observe(ended, now, isSaturated) {
      if (saturatedSince !== undefined) {
        forgetIfOld(now);
        work = work * DECAY + ended;
        time = time * DECAY + (now - saturatedSince);
        samples += 1;
        measuredAt = now;
      }
      saturatedSince = isSaturated ? now : undefined;
    },
    current(now) {
      forgetIfOld(now);
      return samples < MINIMUM_SAMPLES || time === 0 ? undefined : work / time;
    },
  };
}
