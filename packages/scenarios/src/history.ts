/** Operations of sessions and their reported outcomes, to be checked. */
import type {
  ErrorName,
  IdempotencyKey,
  Rows,
  Statement,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/**
 * Final outcome of a request as reported to its session; `pending` until then.
 */
export type ReportedOutcome = 'confirmed' | 'not_run' | 'unknown' | 'pending';

/** Kind of an operation. */
export type OperationKind = 'append' | 'list' | 'counter-add' | 'transaction';

/** One operation of a session. Times are virtual milliseconds. */
export interface Operation {
  readonly id: number;
  readonly session: string;
  readonly kind: OperationKind;
  readonly group: string;
  /** Statements in execution order. */
  readonly statements: readonly Statement[];
  readonly invokedAt: Milliseconds;
  /** Staleness bound of a read, if it states one. */
  readonly maximumAge?: Milliseconds;
  /** Idempotency key of a write; retries use the same key. */
  key?: IdempotencyKey;
  /** Time at which the first attempt was answered or timed out. */
  firstAnswerAt?: Milliseconds;
  /** Time of the final answer or time-out. */
  completedAt?: Milliseconds;
  /** Time of the answer that confirmed the operation. */
  confirmedAt?: Milliseconds;
  /** True if the outcome was unknown before it was resolved after the load. */
  wasUnknown?: boolean;
  outcome: ReportedOutcome;
  error?: ErrorName;
  rows?: Rows;
  servedByRole?: 'primary' | 'replica';
  /** Deadline of the request. */
  readonly deadline: Milliseconds;
}

/** The operations of a run in the order in which they were invoked. */
export interface History {
  readonly operations: readonly Operation[];
  /** Records an invoked operation; the caller fills in its result later. */
  invoke(operation: Omit<Operation, 'id' | 'outcome'>): Operation;
}

/** Creates an empty history. */
export function createHistory(): History {
  const operations: Operation[] = [];
  return {
    operations,
    invoke(operation) {
      const recorded: Operation = {
        ...operation,
        id: operations.length,
        outcome: 'pending',
      };
      operations.push(recorded);
      return recorded;
    },
  };
}

/** Name of the list to which a session appends its records. */
export function sessionList(session: string): string {
  return `records-of-${session}`;
}

/** Text of the record that an append writes; unique within a run. */
export function recordText(session: string, sequence: number): string {
  return `${session}/${sequence}`;
}
