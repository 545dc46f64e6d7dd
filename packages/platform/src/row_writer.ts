/**
 * Conditional writes of rows that stay correct when the store is restored from
 * a copy.
 *
 * A restored store gives out versions again, so a row may have an expected
 * version although another process has written it since. Each write therefore
 * also requires that no process has marked the era after the expected one, and
 * the first write of a process in an era marks that era.
 */
import {type Future, mapFuture} from '@kelpstep/runtime';
import {Err, type Result} from 'ts-results';

import type {
  RowValue,
  StoreFailure,
  StorePosition,
  TableStore,
} from './table_store';

/** Prefix of the keys that mark eras. */
const ERA_MARK_PREFIX = 'era/';
/**
 * Number of eras that a write marks: the marks of the eras before its own may
 * have been lost.
 */
const MARKED_ERAS = 4;

/** Writes rows whose expected position is known. */
export interface RowWriter {
  /**
   * Writes a row if it still has the version that it had at the expected
   * position (version 0: the row does not exist); settles with its new
   * position. Fails with `conflict` also if the store was restored since,
   * although the row may have been written then.
   */
  replaceRow(
    table: string,
    key: string,
    expected: StorePosition,
    value: unknown,
  ): Future<Result<StorePosition, StoreFailure>>;
}

function markKey(era: number): string {
  return `${ERA_MARK_PREFIX}${era}`;
}

/** Creates a writer that keeps the marks of eras in `markTable`. */
export function createRowWriter(
  store: Pick<TableStore, 'transact'>,
  markTable: string,
): RowWriter {
  let markedEra = 0;

  function marksOf(era: number): RowValue[] {
    const marks: RowValue[] = [];
    const first = Math.max(0, era - MARKED_ERAS) + 1;
    for (let marked = first; marked <= era; marked++) {
      marks.push({table: markTable, key: markKey(marked), value: {}});
    }
    return marks;
  }

  return {
    replaceRow(table, key, {era, version}, value) {
      const written = store.transact({
        preconditions: [
          {table, key, version},
          {table: markTable, key: markKey(era + 1), version: 0},
        ],
        puts: [{table, key, value}, ...(era > markedEra ? marksOf(era) : [])],
      });
      return mapFuture(
        written,
        (result): Result<StorePosition, StoreFailure> => {
          if (result.ok && result.val.era !== era) {
            return Err('conflict');
          }
          if (result.ok) {
            markedEra = Math.max(markedEra, era);
          }
          return result;
        },
      );
    },
  };
}
