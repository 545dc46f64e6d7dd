/**
 * Compares what sessions were answered with the naive version. Sessions keep
 * to lists and counters of their own, hence a session's answers follow from
 * its own confirmed operations in their order, whatever others do.
 */
import type {Operation} from './history';
import {createNaiveDatabase} from './naive_model';
import {sessionList} from './history';

/** The outcome of a comparison. */
export interface Comparison {
  /** Answers that were compared. */
  readonly compared: number;
  readonly differences: readonly string[];
}

/** Compares a history whose unknown outcomes are settled. */
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

/** A session has one request at a time, so its operations have one order. */
function compareSession(operations: readonly Operation[]): Comparison {
  const database = createNaiveDatabase();
  const differences: string[] = [];
  let compared = 0;
  for (const operation of operations) {
    if (operation.outcome === 'unknown' || operation.outcome === 'pending') {
      // From here on more than one answer is right.
      break;
    }
    if (operation.outcome !== 'confirmed' || isOfAnother(operation)) {
      continue;
    }
    const expected = JSON.stringify(
      operation.statements.flatMap(statement => database.execute(statement)),
    );
    if (isComparable(operation)) {
      compared++;
      const found = JSON.stringify(operation.rows);
      if (found !== expected) {
        const {id, session, kind} = operation;
        differences.push(
          `operation ${id}, ${kind} of ${session}: expected ${expected}, found ${found}`,
        );
      }
    }
  }
  return {compared, differences};
}

/** A read with a stated age may look at another session's list. */
function isOfAnother({kind, session, statements}: Operation): boolean {
  return (
    kind === 'list' && statements[0]?.parameters[0] !== sessionList(session)
  );
}

/** Settling an outcome gives no rows; commits and appends have none. */
function isComparable({kind, rows}: Operation): boolean {
  return rows !== undefined && (kind === 'list' || kind === 'counter-add');
}
