/** The connections to one target that sessions share. */
import {
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
import {Err, Ok, type Result} from 'ts-results';

/** A connection with what is applied to it. */
export interface SharedConnection {
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
  /** Takes the idle connection that differs least from the settings. */
  take(settings: SessionSettings): SharedConnection | undefined;
  hasIdle(): boolean;
  mayOpen(): boolean;
  /** Opens one, taken by who asked. */
  open(): Future<Result<SharedConnection, OpenFailure>>;
  /** Gives one back; one that is closed is forgotten. */
  giveBack(shared: SharedConnection): void;
  count(): number;
  closeAll(): void;
}

/**
 * Time for a connection to open. Set-up costs some tens of milliseconds at a
 * target (brief) and a round trip; beyond this the target counts as away.
 */
export const OPEN_TIMEOUT: Milliseconds = 500;

/** Creates the connections of a target, none open. */
export function createSharedConnections(
  options: SharedConnectionsOptions,
): SharedConnections {
  let idle: SharedConnection[] = [];
  const all = new Set<SharedConnection>();
  let opening = 0;

  function add(
    askedAt: Milliseconds,
    opened: OpenedConnection,
  ): SharedConnection {
    const {connection} = opened;
    const shared = {connection, applied: createSessionSettings()};
    all.add(shared);
    connection.onClosed(() => {
      all.delete(shared);
      idle = idle.filter(other => other !== shared);
      options.onRoom();
    });
    options.onOpened(askedAt, opened);
    return shared;
  }

  function open(): Future<Result<SharedConnection, OpenFailure>> {
    opening += 1;
    const askedAt = options.timer.now();
    const opened = options.open(options.target, OPEN_TIMEOUT);
    return mapFuture(opened, result => {
      opening -= 1;
      return result.ok ? Ok(add(askedAt, result.val)) : Err(result.val);
    });
  }

  function take(settings: SessionSettings): SharedConnection | undefined {
    let best: SharedConnection | undefined;
    let fewest = Infinity;
    for (const shared of idle) {
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
    mayOpen: () => all.size + opening < options.share(),
    open,
    giveBack(shared) {
      if (shared.connection.isOpen()) {
        idle.push(shared);
      }
      options.onRoom();
    },
    count: () => all.size + opening,
    closeAll() {
      for (const shared of [...all]) {
        shared.connection.close();
      }
    },
  };
}
