/** Faults of a database that concern its answers. */
import {createFailure, targetExecute} from '@kelpstep/protocol';
import {createDeferred, settledFuture} from '@kelpstep/runtime';
import type {HandlerTable, Reply} from '@kelpstep/rpc';
import {Err} from 'ts-results';

import {DatabaseFaults, NO_DATABASE_FAULTS} from './database_settings';

/** The faults of one database. */
export interface Faults {
  current(): DatabaseFaults;
  /** Changes faults; what is absent or undefined stays. */
  configure(change: Partial<DatabaseFaults>): void;
  /** Lets the faults act on handlers. */
  wrap(handlers: HandlerTable): HandlerTable;
}

/** Creates faults that are all off. */
export function createFaults(): Faults {
  let faults = NO_DATABASE_FAULTS;

  function configure(change: Partial<DatabaseFaults>): void {
    faults = {
      refuseConnections: change.refuseConnections ?? faults.refuseConnections,
      refuseStatements: change.refuseStatements ?? faults.refuseStatements,
      loseAnswers: change.loseAnswers ?? faults.loseAnswers,
    };
  }

  /** Counts an answer of a method against those to lose. */
  function takeLoss(method: string): boolean {
    const {loseAnswers} = faults;
    if (loseAnswers.count === 0 || loseAnswers.method !== method) {
      return false;
    }
    configure({loseAnswers: {method, count: loseAnswers.count - 1}});
    return true;
  }

  function wrap(handlers: HandlerTable): HandlerTable {
    return {
      ...handlers,
      dispatch(name, parameters, peer) {
        if (faults.refuseStatements && name === targetExecute.name) {
          return settledFuture(Err(createFailure('SLOTS_EXHAUSTED')));
        }
        const isLost = takeLoss(name);
        const answer = handlers.dispatch(name, parameters, peer);
        return isLost ? createDeferred<Reply<unknown>>().future : answer;
      },
    };
  }

  return {current: () => faults, configure, wrap};
}
