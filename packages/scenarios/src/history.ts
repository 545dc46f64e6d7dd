/** What sessions asked and what they were told: the input of the checker. */
import type {
  ErrorName,
  IdempotencyKey,
  Rows,
  Statement,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** What a session was told of a request in the end. */
export type ToldOutcome = 'confirmed' | 'not_run' | 'unknown' | 'pending';

/** What a session asked for. */
export type OperationKind = 'append' | 'list' | 'counter-add' | 'transaction';

/** One operation of a session. Times are virtual milliseconds. */
export interface Operation {
  readonly id: number;
  readonly session: string;
  readonly kind: OperationKind;
  readonly group: string;
  /** The statements, in order. */
  readonly statements: readonly Statement[];
  readonly invokedAt: Milliseconds;
  /** Oldest data accepted by a read, if stated. */
  readonly maximumAge?: Milliseconds;
  /** Names a write; it may be sent again with the same key. */
  key?: IdempotencyKey;
  /** When its first request was answered, or given up. */
  firstAnswerAt?: Milliseconds;
  /** Set when the answer arrives. */
  completedAt?: Milliseconds;
  /** Set when an answer confirms it. */
  confirmedAt?: Milliseconds;
  /** True if its outcome was unknown until it was settled. */
  wasUnknown?: boolean;
  outcome: ToldOutcome;
  error?: ErrorName;
  rows?: Rows;
  servedByRole?: 'primary' | 'replica';
  /** Deadline that the request carried, virtual milliseconds. */
  readonly deadline: Milliseconds;
}

/** The operations of a run in the order in which they were invoked. */
export interface History {
  readonly operations: readonly Operation[];
  /** Records an operation as invoked and gives it to be completed. */
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

/** List that holds the records which a session appends. */
export function sessionList(session: string): string {
  return `records-of-${session}`;
}

/** The record that an append operation writes: unique in a run. */
export function recordText(session: string, sequence: number): string {
  return `${session}/${sequence}`;
}
