/** Wires the parts that serve statement sessions. */
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
import {createDispatcher} from './dispatch';
import type {GatewayEvents} from './gateway_events';
import {serveSession} from './serve_session';

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly runtime: Runtime;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  readonly events: GatewayEvents;
  groupEvents(group: string): TargetGroupEvents;
  /** Proxies that share the targets; undefined while that isn't known. */
  liveProxies(): number | undefined;
  isChanging(group: string): boolean;
  /** Called for each new group, to watch its primary. */
  onGroup(group: TargetGroup): void;
}

/** Serves callers at the targets of the list. */
export interface Gateway {
  readonly configuration: ConfigurationKeeper;
  /** Takes a configuration; false for one that isn't newer. */
  configure(configuration: GatewayConfiguration): boolean;
  /** Takes the list of targets. */
  register(registrations: readonly TargetRegistration[]): void;
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

/** Creates a gateway that knows no targets and no configuration. */
export function createGateway(options: GatewayOptions): Gateway {
  const {runtime} = options;
  const configuration = createConfigurationKeeper();
  const groups = new Map<string, TargetGroup>();
  const sessions = new Set<CallerConnection>();
  let registrations: readonly TargetRegistration[] = [];
  let isStopping = false;
  const dispatcher = createDispatcher({
    runtime,
    group: name => groups.get(name),
    isChanging: options.isChanging,
  });
  const stopTicks = runtime.timer.every(TICK_PERIOD, () => {
    groups.forEach(group => group.tick());
  });

  function groupNamed(name: string): TargetGroup {
    const known = groups.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = createTargetGroup({
      group: name,
      runtime,
      open: options.open,
      readStatus: options.readStatus,
      policies: options.policies,
      events: options.groupEvents(name),
      liveProxies: options.liveProxies,
    });
    groups.set(name, created);
    options.onGroup(created);
    return created;
  }

  function updateGroups(): void {
    for (const settings of configuration.current()?.groups ?? []) {
      const own = registrations.filter(({group}) => group === settings.group);
      groupNamed(settings.group).update(own, settings);
    }
  }

  function* drain({serveFor, endFor}: DrainTimes): Task<void> {
    yield* sleep(serveFor);
    isStopping = true;
    for (const caller of sessions) {
      caller.messages.post({kind: 'stop'});
    }
    const end = runtime.timer.now() + endFor;
    while (sessions.size > 0 && runtime.timer.now() < end) {
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
      registrations = next;
      updateGroups();
    },
    group: name => groups.get(name),
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
      groups.forEach(group => group.close());
    },
  };
}
