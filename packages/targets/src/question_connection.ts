/** The one connection on which a proxy asks a target its own questions. */
import {
  type OpenFailure,
  type OpenTargetConnection,
  type TargetAddress,
  type TargetConnection,
} from '@kelpstep/statements';
import {type Future, mapFuture, settledFuture} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {OPEN_TIMEOUT} from './shared_connections';

/** A connection that is opened when it is first needed, again if it was lost. */
export interface QuestionConnection {
  get(): Future<Result<TargetConnection, OpenFailure>>;
  isOpen(): boolean;
  close(): void;
}

/** Creates it closed. */
export function createQuestionConnection(
  target: TargetAddress,
  open: OpenTargetConnection,
): QuestionConnection {
  let current: TargetConnection | undefined;
  let opening: Future<Result<TargetConnection, OpenFailure>> | undefined;

  function get(): Future<Result<TargetConnection, OpenFailure>> {
    if (current?.isOpen()) {
      return settledFuture(Ok(current));
    }
    opening ??= mapFuture(open(target, OPEN_TIMEOUT), result => {
      opening = undefined;
      return result.map(({connection}) => {
        current = connection;
        return connection;
      });
    });
    return opening;
  }

  return {
    get,
    isOpen: () => current?.isOpen() ?? false,
    close: () => current?.close(),
  };
}
