/** Wires the parts that serve statement sessions. */
import type {Quota} from '@kelpstep/accounts';
import type {AdmissionPolicies} from '@kelpstep/pool';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  ReadTargetStatus,
} from '@kelpstep/statements';
import {
  type GroupSettings,
  TICK_PERIOD_MS,
  type LinkLoad,
  type TargetGroup,
  type TargetGroupEvents,
  type TargetRegistration,
  createTargetGroup,
} from '@kelpstep/targets';

import type {CallerConnection} from './caller_connection';
import {
  type ActiveConfiguration,
  type GatewayConfiguration,
  createActiveConfiguration,
} from './configuration';
import {type LocalDispatcher, createDispatcher} from './dispatch';
import type {Dispatcher} from './dispatch_types';
import type {GatewayEvents} from './gateway_events';
import {serveSession} from './serve_session';
import type {StopPhase} from './session_stop';

/** What a gateway needs from the proxy that it runs in. */
export interface GatewayOptions {
  readonly runtime: Runtime;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  readonly quota: Pick<Quota, 'take' | 'settle'>;
  readonly events: GatewayEvents;
  groupEvents(group: string): TargetGroupEvents;
  /** True if this proxy is a connection owner of the group. */
  ownsConnections(settings: GroupSettings): boolean;
  /** Number of the group's connection owners; `Infinity` while unknown. */
  ownerCount(settings: GroupSettings): number;
  isPrimaryChanging(group: string): boolean;
  /**
   * True if the promotion of another target is ordered: commits that this
   * target acknowledges may be lost when the order takes effect.
   */
  isSuperseded(group: string, target: string): boolean;
  /** True if targets that do not answer statements are ejected. */
  readonly outlierDetection?: boolean | undefined;
  /** False if the known configuration may be older than its staleness bound. */
  isConfigurationCurrent(): boolean;
  /** False if keys may have been revoked unnoticed; no key is accepted then. */
  mayTrustKeys(): boolean;
  /** Monitors the primary of a new group until the group is released. */
  monitorPrimary(group: TargetGroup): PrimaryMonitor;
  /** Creates the relay, which runs statements locally or through peers. */
  createRelay(local: LocalDispatcher, stopPhase: () => StopPhase): GatewayRelay;
}

/** Runs statements locally or through other proxies. */
export interface GatewayRelay {
  readonly dispatcher: Dispatcher;
  /** Number of other proxies' statements and transactions in progress here. */
  pending(): number;
  close(): void;
}

/** Monitor of a group's primary; stopped when the group is released. */
export interface PrimaryMonitor {
  stop(): void;
}

/** Load of a target of a group. */
export interface GroupTargetLoad extends LinkLoad {
  readonly group: string;
  readonly target: string;
}

/** Serves the sessions of callers by running their statements on targets. */
export interface Gateway {
  readonly configuration: ActiveConfiguration;
  /** Applies a configuration; false unless it is newer than the current one. */
  configure(configuration: GatewayConfiguration): boolean;
  /** Replaces the list of targets of all groups. */
  register(registrations: readonly TargetRegistration[]): void;
  /**
   * The group's targets; undefined while this proxy keeps no connections to
   * them.
   */
  group(name: string): TargetGroup | undefined;
  /** The load of each target to which this proxy keeps connections. */
  targetLoads(): readonly GroupTargetLoad[];
  /** Starts to serve a session; returns at once. */
  serve(caller: CallerConnection): void;
  /**
   * Ends all sessions. Requests that have been read are answered: as before
   * until `rollBackAfter`, and without their results at `closeAfter`.
   */
  drain(times: DrainTimes): Task<void>;
  sessions(): number;
  close(): void;
}

/** Times from the start of a drain, in ascending order. */
export interface DrainTimes {
  /**
   * When sessions begin to end as they become idle. They are served as before
   * until then, because the balancer still sends new ones.
   */
  readonly endIdleAfter: Milliseconds;
  /** When open transactions are rolled back between two statements. */
  readonly rollBackAfter: Milliseconds;
  /** When the sessions that are left are closed. */
  readonly closeAfter: Milliseconds;
}

const DRAIN_POLL_INTERVAL_MS: Milliseconds = 20;
/**
 * How long a group's connections are kept after they were last needed, beyond
 * the time for which a transaction may stay idle.
 */
const GROUP_RELEASE_DELAY_MS: Milliseconds = 1000;

/**
 * Interval between checks of which groups this proxy owns. Several checks fit
 * into the time after which the unchanged row of another proxy counts as stale.
 */
const OWNERSHIP_CHECK_INTERVAL_MS: Milliseconds = 500;

interface ActiveGroup {
  readonly group: TargetGroup;
  readonly monitor: PrimaryMonitor;
  lastNeededAt: Milliseconds;
}

/**
 * Groups the list once for all groups, because it may contain thousands of
 * targets.
 */
function groupRegistrations(
  registrations: readonly TargetRegistration[],
): Map<string, TargetRegistration[]> {
  const groups = new Map<string, TargetRegistration[]>();
  for (const registration of registrations) {
    const members = groups.get(registration.group) ?? [];
    members.push(registration);
    groups.set(registration.group, members);
  }
  return groups;
}

/** Creates a gateway without targets or a configuration. */
export function createGateway(options: GatewayOptions): Gateway {
  const {runtime} = options;
  const configuration = createActiveConfiguration({
    isCurrent: options.isConfigurationCurrent,
    mayTrustKeys: options.mayTrustKeys,
  });
  const groups = new Map<string, ActiveGroup>();
  const sessions = new Set<CallerConnection>();
  const unfinished = new Set<() => void>();
  let registrations = new Map<string, TargetRegistration[]>();
  let stopPhase: StopPhase = 'serving';
  const {timer} = runtime;
  const local = createDispatcher({
    runtime,
    group: findGroup,
    isPrimaryChanging: options.isPrimaryChanging,
  });
  const relay = options.createRelay(local, () => stopPhase);
  const {dispatcher} = relay;
  const stopTicks = timer.every(TICK_PERIOD_MS, () => {
    for (const {group} of groups.values()) {
      group.tick();
      local.observe(group);
    }
  });
  const stopOwnershipChecks = timer.every(
    OWNERSHIP_CHECK_INTERVAL_MS,
    refreshOwnedGroups,
  );

  function ensureGroup(settings: GroupSettings): TargetGroup {
    const known = groups.get(settings.group);
    if (known !== undefined) {
      known.lastNeededAt = timer.now();
      return known.group;
    }
    const name = settings.group;
    const group = createTargetGroup({
      group: name,
      runtime,
      open: options.open,
      readStatus: options.readStatus,
      policies: options.policies,
      events: options.groupEvents(name),
      outlierDetection: options.outlierDetection,
      ownerCount: () =>
        options.ownerCount(configuration.group(name) ?? settings),
    });
    const monitor = options.monitorPrimary(group);
    groups.set(name, {group, monitor, lastNeededAt: timer.now()});
    updateGroup(group, settings);
    return group;
  }

  /**
   * Finds a group by name. If it is configured, its connections are kept for
   * some time even if this proxy doesn't own it.
   */
  function findGroup(name: string): TargetGroup | undefined {
    const settings = configuration.group(name);
    return settings === undefined
      ? groups.get(name)?.group
      : ensureGroup(settings);
  }

  function updateGroup(group: TargetGroup, settings: GroupSettings): void {
    group.update(registrations.get(settings.group) ?? [], settings);
  }

  function updateGroups(): void {
    refreshOwnedGroups();
    for (const {group} of groups.values()) {
      const settings = configuration.group(group.group);
      if (settings !== undefined) {
        updateGroup(group, settings);
      }
    }
  }

  /**
   * Adds the groups that this proxy owns, and releases groups that are no
   * longer needed.
   */
  function refreshOwnedGroups(): void {
    for (const settings of configuration.current()?.groups ?? []) {
      if (options.ownsConnections(settings)) {
        ensureGroup(settings);
      }
    }
    const idle = configuration.current()?.transactionIdle ?? Infinity;
    for (const [name, active] of groups) {
      const {group, monitor} = active;
      // A transaction's statements don't look up the group, and its connection
      // may be busy for longer than the transaction may be idle.
      if (group.links().some(link => link.isInUse())) {
        active.lastNeededAt = timer.now();
      }
      const {lastNeededAt} = active;
      if (timer.now() - lastNeededAt > idle + GROUP_RELEASE_DELAY_MS) {
        monitor.stop();
        group.close();
        groups.delete(name);
      }
    }
  }

  function enterPhase(phase: StopPhase): void {
    stopPhase = phase;
    for (const caller of sessions) {
      caller.messages.post({kind: 'stop'});
    }
  }

  function* awaitSessionEnds(deadline: Milliseconds): Task<void> {
    const isBusy = () => sessions.size > 0 || relay.pending() > 0;
    while (isBusy() && timer.now() < deadline) {
      yield* sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }

  function* drain(times: DrainTimes): Task<void> {
    const startedAt = timer.now();
    yield* sleep(times.endIdleAfter);
    enterPhase('endingSessions');
    yield* awaitSessionEnds(startedAt + times.rollBackAfter);
    enterPhase('endingTransactions');
    yield* awaitSessionEnds(startedAt + times.closeAfter);
    for (const answerNow of unfinished) {
      answerNow();
    }
    for (const caller of sessions) {
      caller.close();
    }
  }

  return {
    configuration,
    configure(next) {
      const isNewer = configuration.accept(next);
      if (isNewer) {
        updateGroups();
      }
      return isNewer;
    },
    register(next) {
      registrations = groupRegistrations(next);
      updateGroups();
    },
    group: name => groups.get(name)?.group,
    targetLoads: () =>
      [...groups.values()].flatMap(({group}) =>
        group
          .links()
          .map(({target, load}) => ({group: group.group, target, ...load()})),
      ),
    serve(caller) {
      sessions.add(caller);
      const {events} = options;
      events.onSession('opened', caller.database);
      const session = runtime.spawn(
        'session',
        serveSession({
          runtime,
          caller,
          configuration,
          dispatcher,
          quota: options.quota,
          events,
          stopPhase: () => stopPhase,
          isSuperseded: options.isSuperseded,
          unfinished,
        }),
      );
      session.result.onSettled(() => sessions.delete(caller));
    },
    drain,
    sessions: () => sessions.size,
    close() {
      stopTicks();
      stopOwnershipChecks();
      relay.close();
      groups.forEach(({group}) => group.close());
    },
  };
}
