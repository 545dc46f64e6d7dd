/** A group's row while this proxy holds it. */
import type {StoreFailure, TableStore} from '@kelpstep/platform';
import {
  type Future,
  type Milliseconds,
  type Task,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {type Succession, successionSchema} from './succession_row';

/** Writes the row as long as nobody else has. */
export interface SuccessionTurn {
  /** Writes a change; false if the row is another's by now, or may be. */
  write(change: Partial<Succession>): Task<boolean>;
  /** The row as last written here. */
  succession(): Succession;
}

type Written = Result<number, StoreFailure>;

/**
 * A write that is silent for so long may be done and its answer lost: the row
 * is read. Well beyond the time of a store that isn't slow.
 */
const LOOK_AFTER: Milliseconds = 250;
/** Tries of one write; without them a change waited for another proxy. */
const MAXIMUM_TRIES = 3;
const TRY_PAUSE: Milliseconds = 60;

function isSame(left: Succession, right: Succession): boolean {
  return (
    left.holder === right.holder &&
    left.epoch === right.epoch &&
    left.phase === right.phase &&
    left.target === right.target &&
    left.from === right.from
  );
}

/** Creates a turn that has written nothing yet. */
export function createTurn(
  store: TableStore,
  table: string,
  key: string,
  version: number,
  first: Succession,
): SuccessionTurn {
  let current = first;
  let currentVersion = version;

  /** The version of the row if it is as this write makes it. */
  function* findWritten(next: Succession): Task<number | undefined> {
    const read = yield* waitFor(store.readTable(table));
    const row = read.ok
      ? read.val.rows.find(other => other.key === key)
      : undefined;
    const parsed = successionSchema.safeParse(row?.value);
    return parsed.success && isSame(parsed.data, next)
      ? row?.version
      : undefined;
  }

  /** The answer, or what the row says while there is none. */
  function* awaitWritten(
    answer: Future<Written>,
    next: Succession,
  ): Task<Written> {
    for (;;) {
      const written = yield* waitAtMost(answer, LOOK_AFTER);
      if (written !== undefined) {
        return written;
      }
      const found = yield* findWritten(next);
      if (found !== undefined) {
        return Ok(found);
      }
    }
  }

  function* tryWrite(next: Succession): Task<Written> {
    const sent = store.replaceRow(table, key, currentVersion, next);
    const written = yield* awaitWritten(sent, next);
    if (written.ok || written.val !== 'conflict') {
      return written;
    }
    // An earlier try may have been done without an answer.
    const found = yield* findWritten(next);
    return found === undefined ? written : Ok(found);
  }

  function* write(change: Partial<Succession>): Task<boolean> {
    const next = {...current, ...change};
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const written = yield* tryWrite(next);
      if (written.ok) {
        current = next;
        currentVersion = written.val;
        return true;
      }
      if (written.val === 'conflict') {
        return false;
      }
      yield* sleep(TRY_PAUSE);
    }
    return false;
  }

  return {write, succession: () => current};
}
