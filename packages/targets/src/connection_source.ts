/** Connections for the statements of a target, of the pool or borrowed. */
import type {OpenFailure} from '@kelpstep/statements';
import {type Task, waitFor} from '@kelpstep/runtime';
import {Err, Ok, type Result} from 'ts-results';

import type {ControlConnection} from './control_connection';
import type {SharedConnection, SharedConnections} from './shared_connections';
import type {StatementRequest} from './statement_request';

export interface ConnectionSourceOptions {
  readonly connections: SharedConnections;
  readonly controlConnection: ControlConnection;
  /**
   * Called when opening a connection failed, except at the connection limit.
   */
  onUnresponsive(reason: string): void;
}

type AcquireResult = Result<SharedConnection, OpenFailure>;

/** Gives each statement a connection, and takes it back. */
export interface ConnectionSource {
  /** True if a connection may be available for some statement. */
  isAvailable(): boolean;
  acquire(statement: StatementRequest): Task<AcquireResult>;
  release(shared: SharedConnection): void;
}

/** Creates a source; connections are opened on demand. */
export function createConnectionSource(
  options: ConnectionSourceOptions,
): ConnectionSource {
  const {connections, controlConnection} = options;

  /**
   * Borrows the control connection for a statement, if it may run there. The
   * connection is opened for the proxy itself, so it serves no other user. It
   * serves no transaction either, because that would block control commands.
   */
  function borrowControlConnection({
    request,
    user,
  }: StatementRequest): AcquireResult {
    const mayBorrow = user === undefined && request.body.kind !== 'begin';
    const borrowed = mayBorrow ? controlConnection.borrow() : undefined;
    return borrowed === undefined ? Err('tooManyConnections') : Ok(borrowed);
  }

  return {
    isAvailable: () =>
      connections.hasIdle() ||
      connections.mayOpen() ||
      controlConnection.canBorrow(),
    *acquire(statement) {
      const idle = connections.take(statement.user, statement.settings);
      if (idle !== undefined) {
        return Ok(idle);
      }
      const {user} = statement;
      const opening = connections.mayOpen()
        ? connections.open(user)
        : connections.replaceIdle(user);
      if (opening === undefined) {
        return borrowControlConnection(statement);
      }
      const opened = yield* waitFor(opening);
      if (opened.ok) {
        return opened;
      }
      if (opened.val === 'tooManyConnections') {
        return borrowControlConnection(statement);
      }
      options.onUnresponsive(opened.val);
      return opened;
    },
    release(shared) {
      if (controlConnection.owns(shared)) {
        controlConnection.returnBorrowed(shared);
      } else {
        connections.release(shared);
      }
    },
  };
}
