/** Session state of a stand-in target. */
import type {
  DeallocateStatement,
  PrepareStatement,
  SessionStatement,
  SetStatement,
  TransactionState,
} from '@kelpstep/statements';

/** State of one connection at the target. */
export interface TargetSession {
  readonly number: number;
  /** User of the connection; undefined if the proxy opened it for itself. */
  readonly user: string | undefined;
  readonly values: Map<string, string>;
  /**
   * Access and shape of each prepared statement, separated by a space, by its
   * name.
   */
  readonly prepared: Map<string, string>;
  transaction: OpenTransaction | undefined;
  /** True if a statement of the open transaction has failed. */
  hasFailed: boolean;
}

/** An open transaction; `writes` holds the ids of its write statements. */
export interface OpenTransaction {
  readonly number: number;
  readonly isReadOnly: boolean;
  readonly term: number;
  readonly writes: string[];
}

/** Creates a session without values, prepared statements or transaction. */
export function createTargetSession(
  number: number,
  user: string | undefined,
): TargetSession {
  return {
    number,
    user,
    values: new Map(),
    prepared: new Map(),
    transaction: undefined,
    hasFailed: false,
  };
}

/**
 * Returns `failed` once a statement of the transaction has failed, otherwise
 * `open` or `idle`.
 */
export function transactionStateOf(session: TargetSession): TransactionState {
  if (session.hasFailed) {
    return 'failed';
  }
  return session.transaction === undefined ? 'idle' : 'open';
}

/** Executes a statement that changes only session state. */
export function applySessionStatement(
  {values, prepared}: TargetSession,
  statement: SetStatement | PrepareStatement | DeallocateStatement,
): void {
  switch (statement.kind) {
    case 'set':
      values.set(statement.name, statement.value);
      return;
    case 'prepare':
      prepared.set(statement.name, `${statement.access} ${statement.shape}`);
      return;
    case 'deallocate':
      prepared.delete(statement.name);
  }
}

/** Clears the values and the prepared statements. */
export function resetSession({values, prepared}: TargetSession): void {
  values.clear();
  prepared.clear();
}

/** True for a statement that a target may refuse for lack of capacity. */
export function isRefusable({kind}: SessionStatement): boolean {
  return ['begin', 'read', 'write', 'execute'].includes(kind);
}
