/**
 * The one connection on which a proxy asks a target its own questions. It is lent
 * for single statements while the target takes no other connection, as after a
 * loss of power, when it still holds those of the processes before.
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
 * Time to open it: a round trip, and set-up in a slot of the target. Beyond it the
 * target counts as silent.
 */
const OPEN_TIMEOUT: Milliseconds = 350;

/** A connection that is opened when it is first needed, again if it was lost. */
export interface QuestionConnection {
  get(): Future<Result<SharedConnection, OpenFailure>>;
  /** True while a statement runs on it: its answers may take longer. */
  isLent(): boolean;
  mayLend(): boolean;
  /** Lends it for one statement; give it back with `takeBack`. */
  lend(): SharedConnection | undefined;
  takeBack(shared: SharedConnection): void;
  owns(shared: SharedConnection): boolean;
  close(): void;
}

/** What a connection for questions is made of. */
export interface QuestionConnectionOptions {
  readonly timer: TimerService;
  readonly target: TargetAddress;
  readonly open: OpenTargetConnection;
  /** `askedAt` is when opening began; `firstAnswers` holds a status. */
  onOpened(askedAt: Milliseconds, opened: OpenedConnection): void;
}

/** The status is asked with the start: a proxy that starts knows no primary. */
const FIRST_REQUESTS = [{body: {kind: 'status'}}] as const;

/** Creates it closed. */
export function createQuestionConnection(
  options: QuestionConnectionOptions,
): QuestionConnection {
  let current: SharedConnection | undefined;
  let opening: Future<Result<SharedConnection, OpenFailure>> | undefined;
  let lent: SharedConnection | undefined;

  function mayLend(): boolean {
    return lent === undefined && (current?.connection.isOpen() ?? false);
  }

  function openWithStatus(): Future<Result<SharedConnection, OpenFailure>> {
    const askedAt = options.timer.now();
    const opened = options.open(
      options.target,
      undefined,
      OPEN_TIMEOUT,
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
        options.onOpened(askedAt, open);
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
    isLent: () => lent !== undefined && lent === current,
    mayLend,
    lend() {
      lent = mayLend() ? current : undefined;
      return lent;
    },
    takeBack(shared) {
      lent = lent === shared ? undefined : lent;
    },
    owns: shared => shared === lent || shared === current,
    close: () => current?.connection.close(),
  };
}
