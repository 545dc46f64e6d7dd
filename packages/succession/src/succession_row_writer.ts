/** Writes a group's succession row on behalf of the proxy that holds it. */
import type {
  RowWriter,
  StoreFailure,
  StorePosition,
  TableStore,
} from '@kelpstep/platform';
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

type WriteResult = Result<StorePosition, StoreFailure>;

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

/** The row, and how it is read and written. */
export interface SuccessionRowLocation {
  readonly store: Pick<TableStore, 'readTable'>;
  readonly rowWriter: RowWriter;
  readonly table: string;
  readonly key: string;
}

/**
 * Creates a writer for a row that is expected to be at `position`. Nothing is
 * written before the first `write`. The writer fails once the store has been
 * restored from a copy, which may lack what other proxies or it have written.
 */
export function createSuccessionRowWriter(
  {store, rowWriter, table, key}: SuccessionRowLocation,
  position: StorePosition,
  initial: Succession,
): SuccessionRowWriter {
  const {era} = position;
  let current = initial;
  let currentPosition = position;

  /** Returns the position of the stored row if it equals `next`. */
  function* findWritten(next: Succession): Task<StorePosition | undefined> {
    const read = yield* waitFor(store.readTable(table));
    const row =
      read.ok && read.val.era === era
        ? read.val.rows.find(other => other.key === key)
        : undefined;
    const parsed = successionSchema.safeParse(row?.value);
    return row !== undefined && parsed.success && isSameRow(parsed.data, next)
      ? {era, version: row.version}
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
      const found = yield* findWritten(next);
      if (found !== undefined) {
        return Ok(found);
      }
    }
  }

  function* attemptWrite(next: Succession): Task<WriteResult> {
    const reply = rowWriter.replaceRow(table, key, currentPosition, next);
    const result = yield* awaitWriteResult(reply, next);
    if (result.ok || result.val !== 'conflict') {
      return result;
    }
    // An earlier attempt may have been applied although its answer was lost.
    const found = yield* findWritten(next);
    return found === undefined ? result : Ok(found);
  }

  function* write(change: Partial<Succession>): Task<boolean> {
    const next = {...current, ...change};
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const result = yield* attemptWrite(next);
      if (result.ok) {
        current = next;
        currentPosition = result.val;
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
