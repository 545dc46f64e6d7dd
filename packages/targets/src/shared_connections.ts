/**
 * The connections to one target that sessions share. Each was opened for one user
 * and serves its sessions alone.
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

/** A connection with what is applied to it. */
export interface SharedConnection {
  readonly user: ConnectionUser;
  readonly connection: TargetConnection;
  readonly applied: SessionSettings;
}

/** What the connections of a target are made of. */
export interface SharedConnectionsOptions {
  readonly timer: TimerService;
  readonly target: TargetAddress;
  readonly open: OpenTargetConnection;
  /** Connections that this proxy may hold at the target at most. */
  share(): number;
  /** A connection became idle or ended: something that waits may go on. */
  onRoom(): void;
  /** `askedAt` is when opening began. */
  onOpened(askedAt: Milliseconds, opened: OpenedConnection): void;
}

/** The connections to one target. */
export interface SharedConnections {
  /** Takes the user's idle connection that differs least from the settings. */
  take(
    user: ConnectionUser,
    settings: SessionSettings,
  ): SharedConnection | undefined;
  hasIdle(): boolean;
  mayOpen(): boolean;
  /** True while there is none, and the target takes no other. */
  isShutOut(): boolean;
  /** Closes the idle connection that was used least recently; false without one. */
  makeRoom(): boolean;
  /** Opens one, taken by who asked. */
  open(user: ConnectionUser): Future<Result<SharedConnection, OpenFailure>>;
  /** Gives one back; one that is closed is forgotten. */
  giveBack(shared: SharedConnection): void;
  count(): number;
  /** Closes a connection beyond the share that nobody uses. */
  trim(): void;
  closeAll(): void;
}

/**
 * Time for a connection to open. Set-up costs some tens of milliseconds at a
 * target (brief) and a round trip; beyond this the target counts as away.
 */
const OPEN_TIMEOUT: Milliseconds = 500;

/**
 * Connections beyond the share that are opened while the target takes them:
 * proxies seldom need their shares at the same time.
 */
const BURST = 1;
/** Pause beyond the share after the target was at its limit. */
const LIMIT_PAUSE: Milliseconds = 500;
/** A connection beyond the share is closed when it was idle for so long. */
const IDLE_TIME: Milliseconds = 300;

/** Creates the connections of a target, none open. */
export function createSharedConnections(
  options: SharedConnectionsOptions,
): SharedConnections {
  let idle: SharedConnection[] = [];
  const all = new Set<SharedConnection>();
  let opening = 0;
  let atLimitUntil = -Infinity;
  let idleSince = -Infinity;

  function add(
    user: ConnectionUser,
    askedAt: Milliseconds,
    opened: OpenedConnection,
  ): SharedConnection {
    const {connection} = opened;
    const shared = {user, connection, applied: createSessionSettings()};
    all.add(shared);
    connection.onClosed(() => {
      all.delete(shared);
      idle = idle.filter(other => other !== shared);
      options.onRoom();
    });
    options.onOpened(askedAt, opened);
    return shared;
  }

  function open(
    user: ConnectionUser,
  ): Future<Result<SharedConnection, OpenFailure>> {
    opening += 1;
    const askedAt = options.timer.now();
    const opened = options.open(options.target, user, OPEN_TIMEOUT);
    return mapFuture(opened, result => {
      opening -= 1;
      if (result.err) {
        noteFailure(result.val);
        return result;
      }
      return Ok(add(user, askedAt, result.val));
    });
  }

  function noteFailure(failure: OpenFailure): void {
    if (failure === 'tooManyConnections') {
      atLimitUntil = options.timer.now() + LIMIT_PAUSE;
    }
  }

  function mayOpen(): boolean {
    const count = all.size + opening;
    const share = options.share();
    const mayBurst = options.timer.now() >= atLimitUntil;
    return count < (mayBurst ? share + BURST : share);
  }

  /** The idle time counts from the last moment without any idle one. */
  function trim(): void {
    const now = options.timer.now();
    const isOver = all.size > options.share();
    if (idle.length === 0 || !isOver) {
      idleSince = now;
    } else if (now - idleSince >= IDLE_TIME) {
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
    mayOpen,
    isShutOut: () => all.size === 0 && options.timer.now() < atLimitUntil,
    makeRoom() {
      const [unused] = idle;
      unused?.connection.close();
      return unused !== undefined;
    },
    open,
    giveBack(shared) {
      if (shared.connection.isOpen()) {
        idle.push(shared);
      }
      options.onRoom();
    },
    count: () => all.size + opening,
    trim,
    closeAll() {
      for (const shared of [...all]) {
        shared.connection.close();
      }
    },
  };
}
