/** State of a database for one connection. */
import type {Statement} from '@kelpstep/protocol';

import {createFifo} from '../fifo';
import type {TransactionTables} from './tables';

/** An open transaction, which occupies a slot until it ends. */
export interface Transaction {
  readonly id: string;
  /** Term in which the transaction began. */
  readonly term: number;
  readonly tables: TransactionTables;
  /** Write statements, in order; the commit applies them. */
  readonly writes: Statement[];
}

/** An asynchronous job; it must call `done` when it has finished. */
export type Job = (done: () => void) => void;

/** Job queue and transaction of one connection. */
export interface Session {
  transaction: Transaction | undefined;
  /** Id of the last transaction that the database rolled back on its own. */
  lostTransaction: string | undefined;
  /** Runs a job after all earlier jobs have finished. */
  enqueue(job: Job): void;
  /** Callback for the end of the connection, if any. */
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

  /** Runs queued jobs in a loop: synchronous jobs must not nest the stack. */
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
