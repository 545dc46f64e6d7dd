/** Writes a group's succession row on behalf of the proxy that holds it. */
import type {StoreFailure, TableStore} from '@kelpstep/platform';
import {
  type Future,
  type Milliseconds,
  type Task,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {type Succession, successionSchema} from './succession_row';

/** Writes the row; fails once another proxy has written it. */
export interface SuccessionRowWriter {
  /**
   * Writes the row with the change applied. Returns false if another proxy has
   * written the row, or if every attempt failed.
   */
  write(change: Partial<Succession>): Task<boolean>;
  /** The row as last written by this writer. */
  succession(): Succession;
}

type WriteResult = Result<number, StoreFailure>;

/**
 * A write without an answer for this long may have been applied with its answer
 * lost, so the row is read back. The time is well above the usual latency of
 * the store.
 */
const READ_BACK_DELAY_MS: Milliseconds = 250;
/**
 * Maximum number of attempts per write. If a single failed write ended the
 * change, the group would have to wait until another proxy takes it over.
 */
const MAXIMUM_ATTEMPTS = 3;
const RETRY_BACKOFF_MS: Milliseconds = 60;

function isSameRow(left: Succession, right: Succession): boolean {
  return (
    left.holder === right.holder &&
    left.epoch === right.epoch &&
    left.phase === right.phase &&
    left.target === right.target &&
    left.from === right.from
  );
}

/**
 * Creates a writer for the row at `key`, which is expected to be at `version`.
 * Nothing is written before the first `write`.
 */
export function createSuccessionRowWriter(
  store: TableStore,
  table: string,
  key: string,
  version: number,
  initial: Succession,
): SuccessionRowWriter {
  let current = initial;
  let currentVersion = version;

  /** Returns the version of the stored row if it equals `next`. */
  function* findWrittenVersion(next: Succession): Task<number | undefined> {
    const read = yield* waitFor(store.readTable(table));
    const row = read.ok
      ? read.val.rows.find(other => other.key === key)
      : undefined;
    const parsed = successionSchema.safeParse(row?.value);
    return parsed.success && isSameRow(parsed.data, next)
      ? row?.version
      : undefined;
  }

  /** Awaits the store's answer, reading the row back while there is none. */
  function* awaitWriteResult(
    answer: Future<WriteResult>,
    next: Succession,
  ): Task<WriteResult> {
    for (;;) {
      const result = yield* waitWithTimeout(answer, READ_BACK_DELAY_MS);
      if (result !== undefined) {
        return result;
      }
      const found = yield* findWrittenVersion(next);
      if (found !== undefined) {
        return Ok(found);
      }
    }
  }

  function* attemptWrite(next: Succession): Task<WriteResult> {
    const reply = store.replaceRow(table, key, currentVersion, next);
    const result = yield* awaitWriteResult(reply, next);
    if (result.ok || result.val !== 'conflict') {
      return result;
    }
    // An earlier attempt may have been applied although its answer was lost.
    const found = yield* findWrittenVersion(next);
    return found === undefined ? result : Ok(found);
  }

  function* write(change: Partial<Succession>): Task<boolean> {
    const next = {...current, ...change};
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const result = yield* attemptWrite(next);
      if (result.ok) {
        current = next;
        currentVersion = result.val;
        return true;
      }
      if (result.val === 'conflict') {
        return false;
      }
      yield* sleep(RETRY_BACKOFF_MS);
    }
    return false;
  }

  return {write, succession: () => current};
}
