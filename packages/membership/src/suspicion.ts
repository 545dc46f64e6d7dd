/**
 * Marks a proxy that did not answer as suspect, and as dead if the suspicion is
 * not refuted in time.
 */
import type {Milliseconds, Runtime, Task} from '@kelpstep/runtime';
import {sleep} from '@kelpstep/runtime';

import type {GossipTiming} from './gossip_timing';
import type {MemberEntry, MemberTable} from './member_table';

/** Tracks which proxies did not answer and marks them as suspect or dead. */
export interface Suspicions {
  /** Reports that a proxy did not answer this one. */
  reportUnanswered(key: string): void;
  /** Records that a proxy sent a reply or a request. */
  recordContact(key: string): void;
  /** Starts the timeout of an entry that became suspect here or by gossip. */
  startExpiry(entry: MemberEntry): void;
}

export interface SuspicionOptions {
  readonly runtime: Runtime;
  readonly table: MemberTable;
  readonly timing: () => GossipTiming;
  /** Called with each changed entry. */
  readonly onChanged: (entry: MemberEntry) => void;
}

interface SuspicionBackoff {
  readonly count: number;
  readonly notBefore: Milliseconds;
}

/**
 * A proxy that others still reach refutes suspicions. A proxy that can't reach
 * it backs off exponentially before suspecting it again; otherwise a single
 * partitioned link would keep all proxies busy.
 */
const FIRST_SUSPICION_BACKOFF_MS = 2000;
const MAXIMUM_SUSPICION_BACKOFF_MS = 30_000;

/**
 * A sleep longer than requested by this ratio means that the process was
 * paused.
 */
const PAUSE_DETECTION_RATIO = 1.5;

/** Creates suspicions about the proxies in a table. */
export function createSuspicions(options: SuspicionOptions): Suspicions {
  const {runtime, table, timing, onChanged} = options;
  const {timer} = runtime;
  const backoffByKey = new Map<string, SuspicionBackoff>();
  const lastContactByKey = new Map<string, Milliseconds>();

  function setCondition(
    entry: MemberEntry,
    condition: 'suspect' | 'dead',
  ): void {
    const update = {...entry.update, condition};
    const changed = table.merge(update, timer.now());
    if (changed !== undefined) {
      onChanged(changed);
    }
  }

  function reportUnanswered(key: string): void {
    const entry = table.get(key);
    const backoff = backoffByKey.get(key) ?? {count: 0, notBefore: 0};
    if (
      entry?.update.condition !== 'alive' ||
      timer.now() < backoff.notBefore
    ) {
      return;
    }
    const delay = Math.min(
      FIRST_SUSPICION_BACKOFF_MS * 2 ** backoff.count,
      MAXIMUM_SUSPICION_BACKOFF_MS,
    );
    backoffByKey.set(key, {
      count: backoff.count + 1,
      notBefore: timer.now() + delay,
    });
    setCondition(entry, 'suspect');
  }

  /**
   * Returns false if this process was paused: refutations may be unread then.
   */
  function* sleepWithoutPause(duration: Milliseconds): Task<boolean> {
    const before = timer.now();
    yield* sleep(duration);
    return timer.now() - before <= duration * PAUSE_DETECTION_RATIO;
  }

  function* expire({key, update}: MemberEntry): Task<void> {
    for (;;) {
      const {suspicionTime} = timing();
      const wasUninterrupted = yield* sleepWithoutPause(suspicionTime);
      const entry = table.get(key);
      const isStillSuspect =
        entry?.update.condition === 'suspect' &&
        entry.update.revision === update.revision;
      if (!isStillSuspect) {
        return;
      }
      const lastContactAt = lastContactByKey.get(key) ?? -Infinity;
      if (wasUninterrupted && timer.now() - lastContactAt >= suspicionTime) {
        backoffByKey.delete(key);
        lastContactByKey.delete(key);
        setCondition(entry, 'dead');
        return;
      }
    }
  }

  return {
    reportUnanswered,
    recordContact(key) {
      lastContactByKey.set(key, timer.now());
      backoffByKey.delete(key);
    },
    startExpiry: entry => void runtime.spawn('suspicion', expire(entry)),
  };
}
