/** A group's row while this proxy holds it. */
import type {TableStore} from '@kelpstep/platform';
import {type Task, waitFor} from '@kelpstep/runtime';

import type {Succession} from './succession_row';

/** Writes the row as long as nobody else has. */
export interface SuccessionTurn {
  /** Writes a change; false if the row is another's by now, or may be. */
  write(change: Partial<Succession>): Task<boolean>;
  /** The row as last written here. */
  succession(): Succession;
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

  function* write(change: Partial<Succession>): Task<boolean> {
    const next = {...current, ...change};
    const reply = yield* waitFor(
      store.replaceRow(table, key, currentVersion, next),
    );
    if (reply.err) {
      return false;
    }
    current = next;
    currentVersion = reply.val;
    return true;
  }

  return {write, succession: () => current};
}
