/** How callers' operations ended, for tests to judge. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {StatementErrorName} from '@kelpstep/statements';

/** Operations that have ended. */
export interface ServedOperations {
  readonly started: number;
  readonly served: number;
}

/** How operations ended. */
export interface OperationCounts {
  started: number;
  served: number;
  readonly errors: Map<StatementErrorName | 'no answer', number>;
  /** Served ones among those that started after a time. */
  servedSince(time: Milliseconds): ServedOperations;
  /** The same, of one account's callers. */
  servedOf(account: string, time: Milliseconds): ServedOperations;
  /** Durations of the single statements among them that were served. */
  statementTimesSince(time: Milliseconds): readonly Milliseconds[];
  /** The same, of transactions alone. */
  transactionsSince(time: Milliseconds): ServedOperations;
  /** Times after which single statements that started then were refused. */
  refusalTimesBetween(
    from: Milliseconds,
    until: Milliseconds,
  ): readonly Milliseconds[];
}

/** One operation that has ended. */
export interface EndedOperation {
  /** Monotonic time of its start. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  readonly account: string | undefined;
  readonly isTransaction: boolean;
  /** Undefined if it was served. */
  readonly failure: StatementErrorName | 'no answer' | undefined;
}

/** Counts with the function that adds to them. */
export interface OperationLog {
  readonly counts: OperationCounts;
  note(operation: EndedOperation): void;
}

function count(operations: readonly EndedOperation[]): ServedOperations {
  const served = operations.filter(({failure}) => failure === undefined);
  return {started: operations.length, served: served.length};
}

/** Creates a log without operations. */
export function createOperationLog(): OperationLog {
  const log: EndedOperation[] = [];
  const counts: OperationCounts = {
    started: 0,
    served: 0,
    errors: new Map(),
    servedSince: time => count(log.filter(({at}) => at >= time)),
    servedOf: (account, time) =>
      count(log.filter(each => each.account === account && each.at >= time)),
    statementTimesSince: time =>
      statementTimes(({at, failure}) => at >= time && failure === undefined),
    transactionsSince: time =>
      count(log.filter(({at, isTransaction}) => isTransaction && at >= time)),
    refusalTimesBetween: (from, until) =>
      statementTimes(
        ({at, failure}) => at >= from && at < until && failure === 'busy',
      ),
  };

  function statementTimes(
    isWanted: (operation: EndedOperation) => boolean,
  ): Milliseconds[] {
    return log
      .filter(operation => !operation.isTransaction && isWanted(operation))
      .map(({duration}) => duration);
  }

  function note(operation: EndedOperation): void {
    const {failure} = operation;
    log.push(operation);
    if (failure === undefined) {
      counts.served += 1;
    } else {
      counts.errors.set(failure, (counts.errors.get(failure) ?? 0) + 1);
    }
  }

  return {counts, note};
}
