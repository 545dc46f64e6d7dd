/** Measures traffic, processor time and heap over a period of virtual time. */
import type {Milliseconds, VirtualTimer} from '@kelpstep/runtime';

import {Traffic, resetTraffic} from './counting_transport';

/** Cost of a role per second of virtual time. */
export interface Cost {
  readonly sentMessages: number;
  readonly receivedMessages: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /**
   * Processor time in milliseconds per second of virtual time. It includes the
   * stand-ins, the virtual network and the counting, so it is an upper bound.
   */
  readonly processorMilliseconds: number;
}

/** One collection may not free all garbage of an earlier run. */
const COLLECTION_COUNT = 3;

/** Heap in bytes, after garbage collection if Node.js runs with --expose-gc. */
export function usedHeapBytes(): number {
  for (let collection = 0; collection < COLLECTION_COUNT; collection++) {
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed;
}

/** Processor time of this process in milliseconds. */
export function processorTime(): Milliseconds {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

/** Advances virtual time and returns the cost per second. */
export function measureCost(
  timer: VirtualTimer,
  traffic: Traffic,
  duration: Milliseconds,
): Cost {
  resetTraffic(traffic);
  const processorTimeBefore = processorTime();
  timer.advance(duration);
  const usedProcessorTime = processorTime() - processorTimeBefore;
  const seconds = duration / 1000;
  return {
    sentMessages: traffic.sentMessages / seconds,
    receivedMessages: traffic.receivedMessages / seconds,
    sentBytes: traffic.sentBytes / seconds,
    receivedBytes: traffic.receivedBytes / seconds,
    processorMilliseconds: usedProcessorTime / seconds,
  };
}
