/** Results of callers' operations, for assertions in tests. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {StatementErrorName} from '@kelpstep/statements';

/** Number of completed operations, and how many of them were served. */
export interface CompletionCounts {
  readonly started: number;
  readonly served: number;
}

/** Results of the operations of a run. */
export interface OperationCounts {
  started: number;
  served: number;
  readonly errors: Map<StatementErrorName | 'no answer', number>;
  /** Counts of operations that started at or after a time. */
  countsSince(time: Milliseconds): CompletionCounts;
  /** Counts of one account's operations that started at or after a time. */
  countsOfAccount(account: string, time: Milliseconds): CompletionCounts;
  /** Durations of served single statements that started at or after a time. */
  statementDurationsSince(time: Milliseconds): readonly Milliseconds[];
  /** Counts of transactions that started at or after a time. */
  transactionCountsSince(time: Milliseconds): CompletionCounts;
  /**
   * Durations until `busy` of single statements that started in `[from,
   * until)`.
   */
  refusalDurationsBetween(
    from: Milliseconds,
    until: Milliseconds,
  ): readonly Milliseconds[];
}

/** One completed operation. */
export interface EndedOperation {
  /** Monotonic time of its start. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  readonly account: string | undefined;
  readonly isTransaction: boolean;
  /** Error, or `no answer` after a timeout; undefined if it was served. */
  readonly failure: StatementErrorName | 'no answer' | undefined;
}

/** Log of completed operations with the counts derived from it. */
export interface OperationLog {
  readonly counts: OperationCounts;
  record(operation: EndedOperation): void;
}

function countOperations(
  operations: readonly EndedOperation[],
): CompletionCounts {
  const served = operations.filter(({failure}) => failure === undefined);
  return {started: operations.length, served: served.length};
}

/** Creates an empty log. */
export function createOperationLog(): OperationLog {
  const log: EndedOperation[] = [];
  const counts: OperationCounts = {
    started: 0,
    served: 0,
    errors: new Map(),
    countsSince: time => countOperations(log.filter(({at}) => at >= time)),
    countsOfAccount: (account, time) =>
      countOperations(
        log.filter(each => each.account === account && each.at >= time),
      ),
    statementDurationsSince: time =>
      statementDurations(
        ({at, failure}) => at >= time && failure === undefined,
      ),
    transactionCountsSince: time =>
      countOperations(
        log.filter(({at, isTransaction}) => isTransaction && at >= time),
      ),
    refusalDurationsBetween: (from, until) =>
      statementDurations(
        ({at, failure}) => at >= from && at < until && failure === 'busy',
      ),
  };

  function statementDurations(
    matches: (operation: EndedOperation) => boolean,
  ): Milliseconds[] {
    return log
      .filter(operation => !operation.isTransaction && matches(operation))
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

  return {counts, record: note};
}
