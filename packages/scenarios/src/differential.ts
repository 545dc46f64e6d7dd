/**
 * Compares the answers to sessions with those of the naive model. Each session
 * uses its own lists and counters, so its answers depend only on its own
 * confirmed operations and their order.
 */
import type {Rows} from '@kelpstep/protocol';

import {Operation, sessionList} from './history';
import {appendedRecords} from './invariants';
import {createNaiveDatabase} from './naive_model';

/** Result of a comparison. */
export interface Comparison {
  /** Number of compared answers. */
  readonly compared: number;
  readonly differences: readonly string[];
}

/** Compares a history whose unknown outcomes were resolved where possible. */
export function compareWithNaive(operations: readonly Operation[]): Comparison {
  const sessions = new Set(operations.map(({session}) => session));
  const results = [...sessions].map(session =>
    compareSession(operations.filter(each => each.session === session)),
  );
  return {
    compared: results.reduce((sum, {compared}) => sum + compared, 0),
    differences: results.flatMap(({differences}) => differences),
  };
}

/**
 * A session has one request at a time, so operations that were confirmed
 * directly have one order. An operation whose outcome was unknown and later
 * resolved as confirmed may have taken effect at any time since: its records
 * may occur once at any position, which then must not change.
 */
function compareSession(operations: readonly Operation[]): Comparison {
  const database = createNaiveDatabase();
  const lateRecords = new Set<string>();
  const differences: string[] = [];
  let lateAdditions = 0;
  let previousRecords: readonly string[] = [];
  let compared = 0;

  function compareList(rows: Rows, expected: Rows): boolean {
    const found = rows.map(row => String(row[0]));
    const orderedRecords = found.filter(record => !lateRecords.has(record));
    const wanted = expected.map(row => String(row[0]));
    const keepsOrder = previousRecords.every(
      (record, index) => found[index] === record,
    );
    previousRecords = found;
    return (
      keepsOrder &&
      orderedRecords.join() === wanted.join() &&
      new Set(found).size === found.length
    );
  }

  function compareSum(rows: Rows, expected: Rows): boolean {
    const excess = Number(rows[0]?.[0]) - Number(expected[0]?.[0]);
    return excess >= 0 && excess <= lateAdditions;
  }

  for (const operation of operations) {
    const {id, session, kind, rows, outcome, statements} = operation;
    if (outcome === 'unknown' || outcome === 'pending') {
      // From here on, more than one history is valid.
      break;
    }
    if (outcome !== 'confirmed' || isForeignList(operation)) {
      continue;
    }
    if (operation.wasUnknown === true) {
      appendedRecords(operation).forEach(record => lateRecords.add(record));
      lateAdditions += kind === 'counter-add' ? 1 : 0;
      continue;
    }
    const expected = statements.flatMap(each => database.execute(each));
    if (rows !== undefined && isComparable(operation)) {
      compared++;
      const compare = kind === 'list' ? compareList : compareSum;
      if (!compare(rows, expected)) {
        const wanted = JSON.stringify(expected);
        const found = JSON.stringify(rows);
        differences.push(
          `operation ${id}, ${kind} of ${session}: expected ${wanted}, found ${found}`,
        );
      }
    }
  }
  return {compared, differences};
}

/** Reads with a staleness bound may read another session's list. */
function isForeignList({kind, session, statements}: Operation): boolean {
  return (
    kind === 'list' && statements[0]?.parameters[0] !== sessionList(session)
  );
}

/** Commits, appends and resolved outcomes return no rows. */
function isComparable({kind, rows}: Operation): boolean {
  return rows !== undefined && (kind === 'list' || kind === 'counter-add');
}
