/** Statements of a caller's session, independent of the wire protocol. */

/** Whether a prepared statement reads or writes. */
export type Access = 'read' | 'write';

/** Begins a transaction; a read-only one may run on a replica. */
export interface BeginStatement {
  readonly kind: 'begin';
  readonly readOnly: boolean;
}

/** Commits or rolls back the transaction. */
export interface EndStatement {
  readonly kind: 'commit' | 'rollback';
}

/** Reads the data of an item. */
export interface ReadStatement {
  readonly kind: 'read';
  readonly item: string;
}

/** Writes `data` to an item. */
export interface WriteStatement {
  readonly kind: 'write';
  readonly item: string;
  readonly data: string;
}

/** Sets a session variable, which applies to the session's later statements. */
export interface SetStatement {
  readonly kind: 'set';
  readonly name: string;
  readonly value: string;
}

/**
 * Prepares a statement under a name of the session. `shape` is passed to
 * targets unchanged.
 */
export interface PrepareStatement {
  readonly kind: 'prepare';
  readonly name: string;
  readonly access: Access;
  readonly shape: string;
}

/** Runs a prepared statement; `parameters` is forwarded unchanged. */
export interface ExecuteStatement {
  readonly kind: 'execute';
  readonly name: string;
  readonly parameters: string;
}

/** Removes a prepared statement from the session. */
export interface DeallocateStatement {
  readonly kind: 'deallocate';
  readonly name: string;
}

/** Any statement of a caller. */
export type SessionStatement =
  | BeginStatement
  | EndStatement
  | ReadStatement
  | WriteStatement
  | SetStatement
  | PrepareStatement
  | ExecuteStatement
  | DeallocateStatement;

/** A caller's request: a statement with the id that the caller gave it. */
export interface CallerRequest {
  readonly id: string;
  /** Undefined if the text could not be parsed as a statement. */
  readonly statement: SessionStatement | undefined;
}
