/** Sessions as a stand-in target keeps them. */
import type {
  DeallocateStatement,
  PrepareStatement,
  SetStatement,
  TransactionState,
} from '@kelpstep/statements';

/** A caller's connection as the target keeps it. */
export interface TargetSession {
  readonly number: number;
  /** Who it was opened for; undefined: a proxy itself. */
  readonly user: string | undefined;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
  transaction: OpenTransaction | undefined;
  hasFailed: boolean;
}

/** A transaction that a target has begun. */
export interface OpenTransaction {
  readonly number: number;
  readonly isReadOnly: boolean;
  readonly term: number;
  readonly writes: string[];
}

/** Creates a session with nothing set. */
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

/** Where a session stands. */
export function stateOf(session: TargetSession): TransactionState {
  if (session.hasFailed) {
    return 'failed';
  }
  return session.transaction === undefined ? 'idle' : 'open';
}

/** Carries out a statement that changes the session alone. */
export function changeSession(
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

/** Clears all that was set and prepared. */
export function clearSession({values, prepared}: TargetSession): void {
  values.clear();
  prepared.clear();
}
