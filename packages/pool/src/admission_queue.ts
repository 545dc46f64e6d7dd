/**
 * The requests that wait for one target. Bounded, ordered by a policy, with
 * one timer for all. Whatever can't meet its deadline leaves at once: when it
 * arrives, when more valuable requests push it back, or when time runs out.
 */
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';

import type {QueuePolicy, QueuedWork} from './queue_policy';

/** What a queue is made of. */
export interface AdmissionQueueOptions<W extends QueuedWork> {
  readonly timer: TimerService;
  readonly policy: QueuePolicy;
  /** Requests that wait at most; beyond it the last in order is refused. */
  readonly capacity: number;
  /** Slot time of what runs now. */
  workInFlight(): Milliseconds;
  /** Statements that run at a time. */
  parallelism(): number;
  /** Called for each request that leaves without its turn. */
  onRefused(work: W): void;
}

/** The requests that wait for one target. */
export interface AdmissionQueue<W extends QueuedWork> {
  /** Adds a request, or refuses it or others by `onRefused`. */
  add(work: W): void;
  /** Takes the first in order. */
  take(): W | undefined;
  /** Empties the queue. */
  takeAll(): W[];
  size(): number;
  /** Slot time of all that waits. */
  backlog(): Milliseconds;
}

/** Creates an empty queue. */
export function createAdmissionQueue<W extends QueuedWork>(
  options: AdmissionQueueOptions<W>,
): AdmissionQueue<W> {
  const {timer, policy, capacity, onRefused} = options;
  let waiting: W[] = [];
  let backlog: Milliseconds = 0;
  let armedFor = Infinity;
  let cancelTimer: Unsubscribe = () => {};

  function insert(work: W): number {
    let low = 0;
    let high = waiting.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (policy.compare(waiting[middle] as W, work) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    waiting.splice(low, 0, work);
    backlog += work.expected;
    return low;
  }

  /** Keeps what passes; tells of the rest after the queue is consistent. */
  function keepOnly(keep: (work: W, index: number) => boolean): void {
    const refused: W[] = [];
    const kept: W[] = [];
    let keptBacklog = 0;
    waiting.forEach((work, index) => {
      if (keep(work, index)) {
        kept.push(work);
        keptBacklog += work.expected;
      } else {
        refused.push(work);
      }
    });
    waiting = kept;
    backlog = keptBacklog;
    refused.forEach(onRefused);
  }

  /** The first request from `index` on that is foreseen to start too late. */
  function findLate(index: number): number {
    const now = timer.now();
    const parallelism = options.parallelism();
    let workAhead = options.workInFlight();
    for (let position = 0; position < waiting.length; position++) {
      const work = waiting[position] as W;
      const load = {now, workAhead, parallelism};
      if (
        position >= index &&
        policy.predictStart(load) > policy.latestStart(work)
      ) {
        return position;
      }
      workAhead += work.expected;
    }
    return -1;
  }

  /** Refuses what starts too late, from the request at `index` on. */
  function refuseLate(index: number): void {
    const refused: W[] = [];
    let late = findLate(index);
    while (late >= 0) {
      const [work] = waiting.splice(late, 1) as [W];
      backlog -= work.expected;
      refused.push(work);
      late = findLate(late);
    }
    refused.forEach(onRefused);
  }

  function onTimer(): void {
    armedFor = Infinity;
    const now = timer.now();
    keepOnly(work => policy.latestStart(work) > now);
    const earliest = waiting.reduce(
      (least, work) => Math.min(least, policy.latestStart(work)),
      Infinity,
    );
    arm(earliest);
  }

  function arm(time: Milliseconds): void {
    if (time >= armedFor) {
      return;
    }
    cancelTimer();
    armedFor = time;
    cancelTimer = timer.after(time - timer.now(), onTimer);
  }

  function add(work: W): void {
    const index = insert(work);
    arm(policy.latestStart(work));
    refuseLate(index);
    if (waiting.length > capacity) {
      keepOnly((unusedWork, position) => position < capacity);
    }
  }

  function take(): W | undefined {
    const work = waiting.shift();
    if (work !== undefined) {
      backlog = waiting.length === 0 ? 0 : backlog - work.expected;
    }
    return work;
  }

  function takeAll(): W[] {
    const all = waiting;
    waiting = [];
    backlog = 0;
    return all;
  }

  return {
    add,
    take,
    takeAll,
    size: () => waiting.length,
    backlog: () => backlog,
  };
}
