/** Statements of a caller's session, as decoded from any wire. */
/** Whether a prepared statement reads or writes. */
export type Access = 'read' | 'write';

/** Opens a transaction; a read-only one may run at a replica. */
export interface BeginStatement {
  readonly kind: 'begin';
  readonly readOnly: boolean;
}

/** Ends a transaction. */
export interface EndStatement {
  readonly kind: 'commit' | 'rollback';
}

/** Reads an item. */
export interface ReadStatement {
  readonly kind: 'read';
  readonly item: string;
}

/** Writes an item. */
export interface WriteStatement {
  readonly kind: 'write';
  readonly item: string;
  readonly data: string;
}

/** Sets a value of the session. */
export interface SetStatement {
  readonly kind: 'set';
  readonly name: string;
  readonly value: string;
}

/** Gives a name to a statement's shape, for this session. */
export interface PrepareStatement {
  readonly kind: 'prepare';
  readonly name: string;
  readonly access: Access;
  readonly shape: string;
}

/** Runs a prepared statement; `parameters` is passed on as it came. */
export interface ExecuteStatement {
  readonly kind: 'execute';
  readonly name: string;
  readonly parameters: string;
}

/** Forgets a prepared statement. */
export interface DeallocateStatement {
  readonly kind: 'deallocate';
  readonly name: string;
}

/** Anything that a caller may ask for. */
export type SessionStatement =
  | BeginStatement
  | EndStatement
  | ReadStatement
  | WriteStatement
  | SetStatement
  | PrepareStatement
  | ExecuteStatement
  | DeallocateStatement;

/** A caller's request: a statement under the caller's id for it. */
export interface CallerRequest {
  readonly id: string;
  /** Undefined for a text that is no statement. */
  readonly statement: SessionStatement | undefined;
}
