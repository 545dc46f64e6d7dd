/**
 * Watches whether a group gets a primary again once all faults have ended, as long
 * as a target that holds every acknowledged commit answers.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {
  FakeNetwork,
  LinkNetwork,
  StandInGroup,
  StandInStore,
  StandInTarget,
} from '@kelpstep/stand-ins';

export interface RecoveryMonitorOptions {
  readonly timer: TimerService;
  readonly group: StandInGroup;
  /** Network between proxies and targets, and among targets. */
  readonly network: LinkNetwork;
  /** Network among proxies. */
  readonly relays: FakeNetwork;
  readonly store: StandInStore;
  /** Endpoints in `network` and hosts in `relays` of the proxies that run. */
  runningProxies(): ReadonlyArray<{
    readonly endpoint: string;
    readonly host: string;
  }>;
  isListed(target: string): boolean;
  /** True while answers or orders are lost or delayed. */
  hasLossyPaths(): boolean;
  holdsAllCommits(target: StandInTarget): boolean;
  /** Called once for each time without a primary. */
  onOverdue(since: Milliseconds): void;
}

export interface RecoveryMonitor {
  /** Records that a fault began or ended in between two checks. */
  noteDisturbance(): void;
}

/** `recovery-s` of the small deployments, the shortest of all. */
const RECOVERY_TIME_MS: Milliseconds = 12_000;
const CHECK_INTERVAL_MS: Milliseconds = 50;

function hasPair<T>(
  items: readonly T[],
  predicate: (left: T, right: T) => boolean,
): boolean {
  return items.some((left, index) =>
    items.slice(index + 1).some(right => predicate(left, right)),
  );
}

/** Starts to watch the group. */
export function startRecoveryMonitor(
  options: RecoveryMonitorOptions,
): RecoveryMonitor {
  const {timer, group, network, relays, store} = options;
  let since: Milliseconds = timer.now();
  let isReported = false;

  function hasStoreFaults(): boolean {
    const {refused, silent, lostAnswerShare, lateWriteShare} = store.faults;
    const affected = [refused, silent].some(
      clients => clients === 'all' || clients.size > 0,
    );
    return affected || lostAnswerShare > 0 || lateWriteShare > 0;
  }

  /** A target that is down counts as faulty until its registration is removed. */
  function isFaulty(target: StandInTarget): boolean {
    const {refusal, refusesConnections, slowness} = target.faults;
    const isImpaired =
      refusal !== undefined || refusesConnections || slowness !== 1;
    return (
      target.isRunning() !== options.isListed(target.target) ||
      (target.isRunning() && (isImpaired || target.isReplicationBlocked()))
    );
  }

  function hasPartitions(): boolean {
    const proxies = options.runningProxies();
    const endpoints = [
      ...proxies.map(({endpoint}) => endpoint),
      ...group.targets().map(({target}) => target),
    ];
    const hosts = proxies.map(({host}) => host);
    return (
      hasPair(endpoints, network.isPartitioned) ||
      hasPair(
        hosts,
        (left, right) =>
          relays.isPartitioned(left, right) ||
          relays.isPartitioned(right, left),
      )
    );
  }

  function hasFaults(): boolean {
    return (
      options.runningProxies().length === 0 ||
      options.hasLossyPaths() ||
      hasStoreFaults() ||
      group.targets().some(isFaulty) ||
      hasPartitions()
    );
  }

  function canRecover(): boolean {
    return group
      .targets()
      .some(target => target.isRunning() && options.holdsAllCommits(target));
  }

  function check(): void {
    if (group.primary() !== undefined || hasFaults() || !canRecover()) {
      since = timer.now();
      isReported = false;
    } else if (timer.now() - since > RECOVERY_TIME_MS && !isReported) {
      isReported = true;
      options.onOverdue(since);
    }
  }

  timer.every(CHECK_INTERVAL_MS, check);
  return {noteDisturbance: () => void (since = timer.now())};
}
