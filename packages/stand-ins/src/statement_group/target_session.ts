/** Sessions as a stand-in target keeps them. */
import type {TransactionState} from '@kelpstep/statements';

/** A caller's connection as the target keeps it. */
export interface TargetSession {
  readonly number: number;
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
export function createTargetSession(number: number): TargetSession {
  return {
    number,
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
