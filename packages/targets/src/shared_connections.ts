/**
 * Pool of the connections to one target that sessions share. A connection is
 * opened for one user and serves only sessions of this user.
 */
import {
  type ConnectionUser,
  type OpenFailure,
  type OpenTargetConnection,
  type OpenedConnection,
  type SessionSettings,
  type TargetAddress,
  type TargetConnection,
  countDifferences,
  createSessionSettings,
} from '@kelpstep/statements';
import {
  type Future,
  type Milliseconds,
  type TimerService,
  mapFuture,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {createSetupTime} from './setup_time';

/** A connection, its user, and the settings applied to it. */
export interface SharedConnection {
  readonly user: ConnectionUser;
  readonly connection: TargetConnection;
  readonly applied: SessionSettings;
}

/** What the pool needs to open connections to a target. */
export interface SharedConnectionsOptions {
  readonly timer: TimerService;
  readonly target: TargetAddress;
  readonly open: OpenTargetConnection;
  /** Number of pool connections that this proxy may hold to the target. */
  share(): number;
  /** Called when a connection became idle or was closed. */
  onAvailable(): void;
  /** `requestedAt` is the time at which opening began. */
  onOpened(requestedAt: Milliseconds, opened: OpenedConnection): void;
}

/** The pool of connections to one target, without its control connection. */
export interface SharedConnections {
  /**
   * Takes the user's idle connection whose settings differ least; undefined if
   * the user has none.
   */
  take(
    user: ConnectionUser,
    settings: SessionSettings,
  ): SharedConnection | undefined;
  hasIdle(): boolean;
  /** True while a statement or a transaction uses a connection. */
  isInUse(): boolean;
  /**
   * Measured time to open a connection for the user; 0 while it has an idle
   * connection, and if it is undefined.
   */
  setupTime(user: ConnectionUser): Milliseconds;
  /**
   * True if an additional connection may be opened. False also while the target
   * has lately been at its limit and an idle connection can be replaced.
   */
  mayOpen(): boolean;
  /**
   * True if a statement of any user is expected to get a connection at once: an
   * idle one, or one that is opened. An idle one of another user is closed for
   * it at the share, and while the target is at its limit.
   */
  isAvailable(): boolean;
  /**
   * True while no connection is open and the target's limit prevents a new one.
   */
  isStarved(): boolean;
  /**
   * Closes the least recently used idle connection and opens one for the user in
   * its place; undefined if none is idle.
   */
  replaceIdle(
    user: ConnectionUser,
  ): Future<Result<SharedConnection, OpenFailure>> | undefined;
  /** Opens a connection for the user, who has then taken it. */
  open(user: ConnectionUser): Future<Result<SharedConnection, OpenFailure>>;
  /** Returns a taken connection; a closed one is dropped. */
  release(shared: SharedConnection): void;
  /** Number of connections that are open or being opened. */
  count(): number;
  /** Number of open connections. */
  openCount(): number;
  /** Number of open connections that nothing uses. */
  idleCount(): number;
  /**
   * Closes the least recently used idle connection if, at all calls for
   * `IDLE_TIMEOUT_MS`, the pool exceeded the share and had an idle connection.
   */
  trim(): void;
  closeAll(): void;
}

/**
 * Timeout for opening, which takes a round trip, and tens of milliseconds for
 * connection set-up on the target. The target is considered unresponsive after
 * this time.
 */
const OPEN_TIMEOUT_MS: Milliseconds = 500;

/**
 * Number of connections opened beyond the share while the target accepts them:
 * proxies seldom need their full shares at the same time.
 */
const EXTRA_CONNECTION_COUNT = 1;
/**
 * Time for which no connection beyond the share is opened after the target was
 * at its limit, and idle connections are replaced instead of adding others.
 */
const LIMIT_BACKOFF_MS: Milliseconds = 500;
/** Time for which the pool may exceed the share while a connection is idle. */
const IDLE_TIMEOUT_MS: Milliseconds = 300;

/** Creates a pool without connections. */
export function createSharedConnections(
  options: SharedConnectionsOptions,
): SharedConnections {
  let idle: SharedConnection[] = [];
  const all = new Set<SharedConnection>();
  const measuredSetupTime = createSetupTime();
  let opening = 0;
  let atLimitUntil = -Infinity;
  let idleSince = -Infinity;

  function add(
    user: ConnectionUser,
    requestedAt: Milliseconds,
    opened: OpenedConnection,
  ): SharedConnection {
    const {connection} = opened;
    const shared = {user, connection, applied: createSessionSettings()};
    all.add(shared);
    connection.onClosed(() => {
      all.delete(shared);
      idle = idle.filter(other => other !== shared);
      options.onAvailable();
    });
    options.onOpened(requestedAt, opened);
    return shared;
  }

  function open(
    user: ConnectionUser,
  ): Future<Result<SharedConnection, OpenFailure>> {
    opening += 1;
    const requestedAt = options.timer.now();
    const opened = options.open(options.target, user, OPEN_TIMEOUT_MS);
    return mapFuture(opened, result => {
      opening -= 1;
      if (result.err) {
        recordFailure(result.val);
        return result;
      }
      const now = options.timer.now();
      measuredSetupTime.observe(now - requestedAt, now);
      return Ok(add(user, requestedAt, result.val));
    });
  }

  function recordFailure(failure: OpenFailure): void {
    if (failure === 'tooManyConnections') {
      atLimitUntil = options.timer.now() + LIMIT_BACKOFF_MS;
    }
  }

  function isTargetAtLimit(): boolean {
    return options.timer.now() < atLimitUntil;
  }

  function mayOpen(): boolean {
    const count = all.size + opening;
    const share = options.share();
    // An additional connection would be refused again, while an account without
    // one can have that of another account.
    return isTargetAtLimit()
      ? count < share && idle.length === 0
      : count < share + EXTRA_CONNECTION_COUNT;
  }

  function isAvailable(): boolean {
    const isRefused = all.size > 0 && isTargetAtLimit();
    return idle.length > 0 || (mayOpen() && !isRefused);
  }

  /**
   * The new connection is counted before the idle one is closed: closing starts
   * queued statements, which must not open another connection in its place.
   */
  function replaceIdle(
    user: ConnectionUser,
  ): Future<Result<SharedConnection, OpenFailure>> | undefined {
    const [unused] = idle;
    if (unused === undefined) {
      return undefined;
    }
    opening += 1;
    unused.connection.close();
    opening -= 1;
    return open(user);
  }

  /**
   * The time is counted from the last call at which no connection was idle or
   * the pool didn't exceed the share.
   */
  function trim(): void {
    const now = options.timer.now();
    const exceedsShare = all.size > options.share();
    if (idle.length === 0 || !exceedsShare) {
      idleSince = now;
    } else if (now - idleSince >= IDLE_TIMEOUT_MS) {
      idle[0]?.connection.close();
    }
  }

  function take(
    user: ConnectionUser,
    settings: SessionSettings,
  ): SharedConnection | undefined {
    let best: SharedConnection | undefined;
    let fewest = Infinity;
    for (const shared of idle) {
      if (shared.user !== user) {
        continue;
      }
      const differences = countDifferences(shared.applied, settings);
      if (differences < fewest) {
        fewest = differences;
        best = shared;
      }
    }
    idle = idle.filter(shared => shared !== best);
    return best;
  }

  return {
    take,
    hasIdle: () => idle.length > 0,
    isInUse: () => all.size > idle.length,
    setupTime: user =>
      user === undefined || idle.some(shared => shared.user === user)
        ? 0
        : measuredSetupTime.current(options.timer.now()),
    mayOpen,
    isAvailable,
    isStarved: () => all.size === 0 && isTargetAtLimit(),
    replaceIdle,
    open,
    release(shared) {
      if (shared.connection.isOpen()) {
        idle.push(shared);
      }
      options.onAvailable();
    },
    count: () => all.size + opening,
    openCount: () => all.size,
    idleCount: () => idle.length,
    trim,
    closeAll() {
      for (const shared of [...all]) {
        shared.connection.close();
      }
    },
  };
}
