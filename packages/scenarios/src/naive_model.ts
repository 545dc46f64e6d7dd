/**
 * The naive version that answers are compared with: one database, one request
 * after another, no failure. Sessions keep to lists and counters of their own,
 * so that each session's answers follow from its own requests alone.
 */
import type {Rows, Statement} from '@kelpstep/protocol';

/** One database that runs statements at once. */
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
