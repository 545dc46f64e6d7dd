/** Injects faults into the RPC handlers of a database. */
import {createFailure, targetExecute} from '@kelpstep/protocol';
import {createDeferred, settledFuture} from '@kelpstep/runtime';
import type {HandlerTable, Reply} from '@kelpstep/rpc';
import {Err} from 'ts-results';

import {DatabaseFaults, NO_DATABASE_FAULTS} from './database_settings';

/** Fault state of one database. */
export interface Faults {
  current(): DatabaseFaults;
  /** Changes faults; absent or undefined fields keep their value. */
  configure(change: Partial<DatabaseFaults>): void;
  /** Returns handlers that apply the current faults. */
  wrap(handlers: HandlerTable): HandlerTable;
}

/** Creates a state with all faults switched off. */
export function createFaults(): Faults {
  let faults = NO_DATABASE_FAULTS;

  function configure(change: Partial<DatabaseFaults>): void {
    faults = {
      refuseConnections: change.refuseConnections ?? faults.refuseConnections,
      refuseStatements: change.refuseStatements ?? faults.refuseStatements,
      loseAnswers: change.loseAnswers ?? faults.loseAnswers,
    };
  }

  /** True if the next answer of a method is to be dropped; counts it. */
  function consumeAnswerLoss(method: string): boolean {
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
        const isLost = consumeAnswerLoss(name);
        const answer = handlers.dispatch(name, parameters, peer);
        return isLost ? createDeferred<Reply<unknown>>().future : answer;
      },
    };
  }

  return {current: () => faults, configure, wrap};
}
