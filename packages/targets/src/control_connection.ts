/**
 * The control connection of a proxy to a target, for probes and commands. It is
 * borrowed for single statements while the target accepts no other connection,
 * for example after a power loss, when the target still counts the connections
 * of the previous processes.
 */
import {
  type OpenFailure,
  type OpenTargetConnection,
  type OpenedConnection,
  type TargetAddress,
  createSessionSettings,
} from '@kelpstep/statements';
import {
  type Future,
  type Milliseconds,
  type TimerService,
  mapFuture,
  settledFuture,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import type {SharedConnection} from './shared_connections';

/**
 * Timeout for opening, which takes a round trip and the connection set-up at the
 * target. The set-up occupies one of the few slots in which the target runs
 * statements concurrently, and may have to wait for a free one. The target is
 * considered unresponsive after this time.
 */
const OPEN_TIMEOUT_MS: Milliseconds = 350;

/** A connection that is opened on demand and reopened after it was lost. */
export interface ControlConnection {
  get(): Future<Result<SharedConnection, OpenFailure>>;
  /** True while a statement runs on it, which may delay answers to commands. */
  isBorrowed(): boolean;
  canBorrow(): boolean;
  /**
   * Borrows the connection for one statement, until `returnBorrowed`; undefined
   * if it is borrowed already or not open.
   */
  borrow(): SharedConnection | undefined;
  returnBorrowed(shared: SharedConnection): void;
  owns(shared: SharedConnection): boolean;
  close(): void;
}

export interface ControlConnectionOptions {
  readonly timer: TimerService;
  readonly target: TargetAddress;
  readonly open: OpenTargetConnection;
  /**
   * `requestedAt` is the time at which opening began. `firstAnswers` contains
   * the answer to a status command.
   */
  onOpened(requestedAt: Milliseconds, opened: OpenedConnection): void;
}

/**
 * The status is requested at opening, because a starting proxy knows no
 * primary.
 */
const FIRST_REQUESTS = [{body: {kind: 'status'}}] as const;

/** Creates a control connection, which is opened by the first `get`. */
export function createControlConnection(
  options: ControlConnectionOptions,
): ControlConnection {
  let current: SharedConnection | undefined;
  let opening: Future<Result<SharedConnection, OpenFailure>> | undefined;
  let borrowed: SharedConnection | undefined;

  function canBorrow(): boolean {
    return borrowed === undefined && (current?.connection.isOpen() ?? false);
  }

  function openWithStatus(): Future<Result<SharedConnection, OpenFailure>> {
    const requestedAt = options.timer.now();
    const opened = options.open(
      options.target,
      undefined,
      OPEN_TIMEOUT_MS,
      FIRST_REQUESTS,
    );
    return mapFuture(opened, result => {
      opening = undefined;
      return result.map(open => {
        const {connection} = open;
        current = {
          user: undefined,
          connection,
          applied: createSessionSettings(),
        };
        options.onOpened(requestedAt, open);
        return current;
      });
    });
  }

  function get(): Future<Result<SharedConnection, OpenFailure>> {
    if (current?.connection.isOpen()) {
      return settledFuture(Ok(current));
    }
    opening ??= openWithStatus();
    return opening;
  }

  return {
    get,
    isBorrowed: () => borrowed !== undefined && borrowed === current,
    canBorrow,
    borrow() {
      borrowed = canBorrow() ? current : undefined;
      return borrowed;
    },
    returnBorrowed(shared) {
      borrowed = borrowed === shared ? undefined : borrowed;
    },
    owns: shared => shared === borrowed || shared === current,
    close: () => current?.connection.close(),
  };
}
