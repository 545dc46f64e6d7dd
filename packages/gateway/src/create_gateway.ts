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
  TICK_PERIOD,
  type TargetGroup,
  type TargetGroupEvents,
  type TargetRegistration,
  createTargetGroup,
} from '@kelpstep/targets';

import type {CallerConnection} from './caller_connection';
import {
  type ConfigurationKeeper,
  type GatewayConfiguration,
  createConfigurationKeeper,
} from './configuration';
import {type LocalDispatcher, createDispatcher} from './dispatch';
import type {Dispatcher} from './dispatch_types';
import type {GatewayEvents} from './gateway_events';
import {serveSession} from './serve_session';

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly runtime: Runtime;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  readonly quota: Pick<Quota, 'take' | 'charge'>;
  readonly events: GatewayEvents;
  groupEvents(group: string): TargetGroupEvents;
  /** True if this proxy holds connections to the group's targets. */
  holds(settings: GroupSettings): boolean;
  /** Proxies that hold some; `Infinity` while that isn't known. */
  holders(settings: GroupSettings): number;
  isChanging(group: string): boolean;
  /** False if a configuration may be missing that is to be in force by now. */
  isConfigurationCurrent(): boolean;
  /** False if nobody may be served by a key that may have been taken away. */
  mayTrustKeys(): boolean;
  /** Called for each new group, to watch its primary until it is let go. */
  onGroup(group: TargetGroup): GroupWatch;
  /** Puts what runs statements elsewhere over what runs them here. */
  createRelay(local: LocalDispatcher, isStopping: () => boolean): GatewayRelay;
}

/** Runs statements here or through other proxies. */
export interface GatewayRelay {
  readonly dispatcher: Dispatcher;
  /** Work of other proxies that is under way here. */
  pending(): number;
  close(): void;
}

/** Watches a group's primary. */
export interface GroupWatch {
  stop(): void;
}

/** Serves callers at the targets of the list. */
export interface Gateway {
  readonly configuration: ConfigurationKeeper;
  /** Takes a configuration; false for one that isn't newer. */
  configure(configuration: GatewayConfiguration): boolean;
  /** Takes the list of targets. */
  register(registrations: readonly TargetRegistration[]): void;
  /** Undefined if its targets are left to other proxies. */
  group(name: string): TargetGroup | undefined;
  /** Serves a session until it ends. */
  serve(caller: CallerConnection): void;
  /** Ends idle sessions, gives the others their time, then ends all. */
  drain(times: DrainTimes): Task<void>;
  sessions(): number;
  close(): void;
}

/** How a gateway ends its sessions. */
export interface DrainTimes {
  /** Serves as before for so long: the balancer still sends. */
  readonly serveFor: Milliseconds;
  /** Then sessions end as they become idle, for so long at most. */
  readonly endFor: Milliseconds;
}

const DRAIN_STEP: Milliseconds = 20;
/**
 * Connections are kept for so long, beside the time for which a transaction may
 * stay idle, after this proxy had to hold them.
 */
const LET_GO_AFTER: Milliseconds = 1000;

/**
 * How often it is looked which groups are to be held: some times in the time in
 * which other proxies' rows are seen to stand still.
 */
const HOLD_PERIOD: Milliseconds = 500;

interface HeldGroup {
  readonly group: TargetGroup;
  readonly watch: GroupWatch;
  neededAt: Milliseconds;
}

/** Sorted once for all groups: a list may hold thousands. */
function byGroup(
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

/** Creates a gateway that knows no targets and no configuration. */
export function createGateway(options: GatewayOptions): Gateway {
  const {runtime} = options;
  const configuration = createConfigurationKeeper({
    isCurrent: options.isConfigurationCurrent,
    mayTrustKeys: options.mayTrustKeys,
  });
  const groups = new Map<string, HeldGroup>();
  const sessions = new Set<CallerConnection>();
  let registrations = new Map<string, TargetRegistration[]>();
  let isStopping = false;
  const {timer} = runtime;
  const local = createDispatcher({
    runtime,
    group: holdIfListed,
    isChanging: options.isChanging,
  });
  const relay = options.createRelay(local, () => isStopping);
  const {dispatcher} = relay;
  const stopTicks = timer.every(TICK_PERIOD, () => {
    for (const {group} of groups.values()) {
      group.tick();
      local.notePrimary(group);
    }
  });
  const stopHolding = timer.every(HOLD_PERIOD, holdGroups);

  function hold(settings: GroupSettings): TargetGroup {
    const known = groups.get(settings.group);
    if (known !== undefined) {
      known.neededAt = timer.now();
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
      holders: () => options.holders(configuration.group(name) ?? settings),
    });
    const watch = options.onGroup(group);
    groups.set(name, {group, watch, neededAt: timer.now()});
    update(group, settings);
    return group;
  }

  /** Asked for, a group is held even if that is left to others: for a while. */
  function holdIfListed(name: string): TargetGroup | undefined {
    const settings = configuration.group(name);
    return settings === undefined ? groups.get(name)?.group : hold(settings);
  }

  function update(group: TargetGroup, settings: GroupSettings): void {
    group.update(registrations.get(settings.group) ?? [], settings);
  }

  function updateGroups(): void {
    holdGroups();
    for (const {group} of groups.values()) {
      const settings = configuration.group(group.group);
      if (settings !== undefined) {
        update(group, settings);
      }
    }
  }

  /** Takes up the groups that this proxy is to hold, and lets others go. */
  function holdGroups(): void {
    for (const settings of configuration.current()?.groups ?? []) {
      if (options.holds(settings)) {
        hold(settings);
      }
    }
    const idle = configuration.current()?.transactionIdle ?? Infinity;
    for (const [name, {group, watch, neededAt}] of groups) {
      if (timer.now() - neededAt > idle + LET_GO_AFTER) {
        watch.stop();
        group.close();
        groups.delete(name);
      }
    }
  }

  function* drain({serveFor, endFor}: DrainTimes): Task<void> {
    yield* sleep(serveFor);
    isStopping = true;
    for (const caller of sessions) {
      caller.messages.post({kind: 'stop'});
    }
    const end = runtime.timer.now() + endFor;
    const isBusy = () => sessions.size > 0 || relay.pending() > 0;
    while (isBusy() && runtime.timer.now() < end) {
      yield* sleep(DRAIN_STEP);
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
      registrations = byGroup(next);
      updateGroups();
    },
    group: name => groups.get(name)?.group,
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
          isStopping: () => isStopping,
        }),
      );
      session.result.onSettled(() => sessions.delete(caller));
    },
    drain,
    sessions: () => sessions.size,
    close() {
      stopTicks();
      stopHolding();
      relay.close();
      groups.forEach(({group}) => group.close());
    },
  };
}
