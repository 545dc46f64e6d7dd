/** What a database keeps for one connection. */
import type {Statement} from '@kelpstep/protocol';

import {createFifo} from '../fifo';
import type {TransactionTables} from './tables';

/** A transaction; it holds a slot until its end. */
export interface Transaction {
  readonly id: string;
  /** The term in which it was begun. */
  readonly term: number;
  readonly tables: TransactionTables;
  /** Writes that are applied at the commit. */
  readonly writes: Statement[];
}

/** Work of a connection; it calls `done` at its end. */
export type Job = (done: () => void) => void;

/** A connection's jobs and its transaction. */
export interface Session {
  transaction: Transaction | undefined;
  /** Id of the last transaction that the database rolled back by itself. */
  lostTransaction: string | undefined;
  /** Runs a job once those before it are done. */
  enqueue(job: Job): void;
  /** Names what to do if the connection ends; `undefined` for nothing. */
  onClose: (() => void) | undefined;
  isClosed(): boolean;
  close(): void;
}

/** Creates the session of a new connection. */
export function createSession(): Session {
  const jobs = createFifo<Job>();
  let running = false;
  let pumping = false;
  let closed = false;

  function done(): void {
    running = false;
    pump();
  }

  /** A loop, so that jobs which end at once keep the stack flat. */
  function pump(): void {
    if (pumping) {
      return;
    }
    pumping = true;
    while (!running && !closed) {
      const job = jobs.shift();
      if (job === undefined) {
        break;
      }
      running = true;
      job(done);
    }
    pumping = false;
  }

  function close(): void {
    closed = true;
    jobs.drain();
    session.onClose?.();
  }

  const session: Session = {
    transaction: undefined,
    lostTransaction: undefined,
    enqueue(job) {
      jobs.push(job);
      pump();
    },
    onClose: undefined,
    isClosed: () => closed,
    close,
  };
  return session;
}
