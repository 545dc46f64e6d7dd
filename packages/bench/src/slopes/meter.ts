/** Measures a stretch of virtual time: traffic, processor time, heap. */
import type {Milliseconds, VirtualTimer} from '@kelpstep/runtime';

import {Traffic, resetTraffic} from './counting_transport';

/** What a role costs per second of its own time. */
export interface Cost {
  readonly sentMessages: number;
  readonly receivedMessages: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /**
   * Processor time in milliseconds per second of virtual time. Contains the
   * stand-ins, the virtual network and the counting: a bound from above.
   */
  readonly processorMilliseconds: number;
}

/** What an earlier run left may need more than one collection. */
const COLLECTIONS = 3;

/** Heap in bytes after collections, if node runs with --expose-gc. */
export function usedHeap(): number {
  for (let collection = 0; collection < COLLECTIONS; collection++) {
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed;
}

/** Processor time of this process in milliseconds. */
export function processorTime(): Milliseconds {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

/** Lets virtual time pass and gives the cost per second. */
export function measureStretch(
  timer: VirtualTimer,
  traffic: Traffic,
  duration: Milliseconds,
): Cost {
  resetTraffic(traffic);
  const before = processorTime();
  timer.advance(duration);
  const processor = processorTime() - before;
  const seconds = duration / 1000;
  return {
    sentMessages: traffic.sentMessages / seconds,
    receivedMessages: traffic.receivedMessages / seconds,
    sentBytes: traffic.sentBytes / seconds,
    receivedBytes: traffic.receivedBytes / seconds,
    processorMilliseconds: processor / seconds,
  };
}
