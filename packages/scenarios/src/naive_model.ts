/**
 * Reference model for answers: one database that runs requests sequentially and
 * never fails. Each session uses its own lists and counters, so its answers
 * depend only on its own requests.
 */
import type {Rows, Statement} from '@kelpstep/protocol';

/** An in-memory database that runs statements synchronously. */
export interface NaiveDatabase {
  /** Runs a statement of the stand-in's language. */
  execute(statement: Statement): Rows;
}

/** Creates an empty database. */
export function createNaiveDatabase(): NaiveDatabase {
  const values = new Map<string, Statement['parameters'][number]>();
  const lists = new Map<string, Statement['parameters']>();

  function execute(statement: Statement): Rows {
    const [name, argument] = statement.parameters;
    const key = String(name);
    switch (statement.text) {
      case 'set ? ?':
        values.set(key, argument ?? null);
        return [];
      case 'get ?':
        return values.has(key) ? [[values.get(key) ?? null]] : [];
      case 'append ? ?':
        lists.set(key, [...(lists.get(key) ?? []), argument ?? null]);
        return [];
      case 'list ?':
        return (lists.get(key) ?? []).map(entry => [entry]);
      case 'count ?':
        return [[(lists.get(key) ?? []).length]];
      case 'add ? ?': {
        const sum = Number(values.get(key) ?? 0) + Number(argument);
        values.set(key, sum);
        return [[sum]];
      }
      default:
        return [];
    }
  }

  return {execute};
}
