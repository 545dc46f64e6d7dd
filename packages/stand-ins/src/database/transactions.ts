/** Manages the open transactions of a database. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';

import type {Session, Transaction} from './session';
import type {SlotPool} from './slot_pool';
import type {Store} from './store';
import {createTransactionTables} from './tables';

/** Open transactions; a session has at most one. */
export interface Transactions {
  begin(session: Session, term: number): Result<Transaction, Failure>;
  /** Returns the session's transaction if it has this id. */
  find(session: Session, id: string): Result<Transaction, Failure>;
  /** Ends the session's transaction, if any, and releases its slot. */
  end(session: Session): void;
  /** Rolls back all transactions when the database is no longer primary. */
  rollBackAll(): void;
  /** Number of open transactions. */
  open(): number;
}

/** Creates an empty set; transaction ids start with the incarnation. */
export function createTransactions(
  store: Store,
  slots: SlotPool,
  incarnation: string,
): Transactions {
  const sessions = new Set<Session>();
  let nextNumber = 1;

  function begin(session: Session, term: number): Result<Transaction, Failure> {
    if (session.transaction !== undefined) {
      return Err(createFailure('TRANSACTION_BUSY'));
    }
    session.transaction = {
      id: `${incarnation}-${nextNumber++}`,
      term,
      tables: createTransactionTables(store.tables),
      writes: [],
    };
    sessions.add(session);
    return Ok(session.transaction);
  }

  function find(session: Session, id: string): Result<Transaction, Failure> {
    const {transaction} = session;
    if (transaction?.id === id) {
      return Ok(transaction);
    }
    const isLost = session.lostTransaction === id;
    return Err(
      createFailure(isLost ? 'TRANSACTION_LOST' : 'TRANSACTION_UNKNOWN'),
    );
  }

  function end(session: Session): void {
    if (sessions.delete(session)) {
      session.transaction = undefined;
      slots.release();
    }
  }

  function rollBackAll(): void {
    for (const session of [...sessions]) {
      session.lostTransaction = session.transaction?.id;
      end(session);
    }
  }

  return {begin, find, end, rollBackAll, open: () => sessions.size};
}
