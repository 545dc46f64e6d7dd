/**
 * Suspects a proxy that did not answer, and calls it dead if the suspicion is
 * not refuted in time.
 */
import type {Milliseconds, Runtime, Task} from '@kelpstep/runtime';
import {sleep} from '@kelpstep/runtime';

import type {MemberEntry, MemberTable} from './member_table';
import type {Pace} from './pace';

/** The suspicions of one proxy. */
export interface Suspicions {
  /** A proxy did not answer this one. */
  accuse(key: string): void;
  /** A proxy answered, or asked something. */
  heardFrom(key: string): void;
  /** An entry became suspect, by this proxy or by hearsay. */
  watch(entry: MemberEntry): void;
}

/** What suspicions are made of. */
export interface SuspicionOptions {
  readonly runtime: Runtime;
  readonly table: MemberTable;
  readonly pace: () => Pace;
  /** Takes each entry that changes. */
  readonly onChanged: (entry: MemberEntry) => void;
}

interface Strikes {
  readonly count: number;
  readonly notBefore: Milliseconds;
}

/**
 * A proxy that others still hear refutes. Whoever can't reach it then waits
 * longer and longer before it accuses again, or else a link that is cut in one
 * place would keep all proxies busy.
 */
const FIRST_ACCUSATION_PAUSE = 2000;
const LONGEST_ACCUSATION_PAUSE = 30_000;

/** A sleep this much longer than asked means that the process was paused. */
const PAUSE_FACTOR = 1.5;

/** Creates suspicions about the proxies of a table. */
export function createSuspicions(options: SuspicionOptions): Suspicions {
  const {runtime, table, pace, onChanged} = options;
  const {timer} = runtime;
  const strikesByKey = new Map<string, Strikes>();
  const heardAt = new Map<string, Milliseconds>();

  function change(entry: MemberEntry, condition: 'suspect' | 'dead'): void {
    const update = {...entry.update, condition};
    const changed = table.merge(update, timer.now());
    if (changed !== undefined) {
      onChanged(changed);
    }
  }

  function accuse(key: string): void {
    const entry = table.get(key);
    const strikes = strikesByKey.get(key) ?? {count: 0, notBefore: 0};
    if (
      entry?.update.condition !== 'alive' ||
      timer.now() < strikes.notBefore
    ) {
      return;
    }
    const pause = Math.min(
      FIRST_ACCUSATION_PAUSE * 2 ** strikes.count,
      LONGEST_ACCUSATION_PAUSE,
    );
    strikesByKey.set(key, {
      count: strikes.count + 1,
      notBefore: timer.now() + pause,
    });
    change(entry, 'suspect');
  }

  /** False if this process was paused: refutations may wait to be read. */
  function* sleepUndisturbed(duration: Milliseconds): Task<boolean> {
    const before = timer.now();
    yield* sleep(duration);
    return timer.now() - before <= duration * PAUSE_FACTOR;
  }

  function* expire({key, update}: MemberEntry): Task<void> {
    for (;;) {
      const {suspicionTime} = pace();
      const undisturbed = yield* sleepUndisturbed(suspicionTime);
      const entry = table.get(key);
      const stands =
        entry?.update.condition === 'suspect' &&
        entry.update.revision === update.revision;
      if (!stands) {
        return;
      }
      const heard = heardAt.get(key) ?? -Infinity;
      if (undisturbed && timer.now() - heard >= suspicionTime) {
        strikesByKey.delete(key);
        heardAt.delete(key);
        change(entry, 'dead');
        return;
      }
    }
  }

  return {
    accuse,
    heardFrom(key) {
      heardAt.set(key, timer.now());
      strikesByKey.delete(key);
    },
    watch: entry => void runtime.spawn('suspicion', expire(entry)),
  };
}
