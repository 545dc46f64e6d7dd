/** Replays a load of reads on one group through its connection owners. */
import {
  type DispatchRequest,
  type DispatchResult,
  createDispatcher,
} from '@kelpstep/gateway';
import {
  VALUE_PER_SLOT_TIME,
  createAdaptiveLimit,
  spreadRetryAfter,
} from '@kelpstep/pool';
import {
  type Milliseconds,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type StandInTarget,
  createLinkNetwork,
  createStandInGroup,
} from '@kelpstep/stand-ins';
import {createSessionSettings} from '@kelpstep/statements';
import {
  type OutlierEvent,
  TICK_PERIOD_MS,
  createTargetGroup,
} from '@kelpstep/targets';

import {IGNORED_EVENTS, readStatus} from './proxy_stubs';
import {GROUP, ROUTES} from './statement_routes';

/** Size of the load, and whether targets may be ejected. */
export interface ReadLoadOptions {
  readonly seed: number;
  readonly outlierDetection: boolean;
  /** Number of connection owners. */
  readonly owners: number;
  /** Reads per second, over all owners. */
  readonly rate: number;
  readonly statementDuration: Milliseconds;
}

/** A read that has ended; `target` is the one that answered last. */
export interface EndedRead {
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  readonly isServed: boolean;
  readonly attempts: number;
  readonly target: string;
}

/** Target 1 is the primary. */
const TARGETS = ['target-1', 'target-2', 'target-3'] as const;
const SLOT_COUNT = 8;
const CONNECTION_LIMIT = 60;
const LATENCY_MS: Milliseconds = 1;
const SECOND_MS: Milliseconds = 1000;

/** Creates a load whose owners send reads until the time is advanced no more. */
export function createReadLoad(options: ReadLoadOptions) {
  const {seed, owners, rate} = options;
  const timer = createVirtualTimer();
  const network = createLinkNetwork(timer, () => LATENCY_MS);
  const targets = createStandInGroup({
    timer,
    network,
    recorder: {onRun: () => {}, onPromotion: () => {}},
    group: GROUP,
    targets: TARGETS,
    slots: SLOT_COUNT,
    connectionLimit: CONNECTION_LIMIT,
    statementDuration: options.statementDuration,
    promotionDuration: 300,
    applyDelay: () => 4,
    commandDelay: () => 0,
    shouldDropAnswer: () => false,
  });
  const reads: EndedRead[] = [];
  const events: OutlierEvent[] = [];
  const mostConnections = new Map<string, number>();

  function requestOf(id: string): DispatchRequest {
    const route = ROUTES.find(({freshness}) => freshness === 'bounded');
    if (route === undefined) {
      throw new Error('There is no route for bounded reads.');
    }
    return {
      id,
      route: {...route, timeout: 800},
      account: undefined,
      statement: {kind: 'read', item: 'a'},
      shape: undefined,
      settings: createSessionSettings(),
      arrivedAt: timer.now(),
      lastCommit: undefined,
      needsPrimary: false,
      isWrite: false,
      runs: {add: () => {}, total: () => 0},
      isAbandoned: () => false,
    };
  }

  function startOwner(number: number): void {
    const random = createRandom(1000 * seed + number);
    const runtime = createRuntime({timer, random: random.split()});
    const group = createTargetGroup({
      group: GROUP,
      runtime,
      open: (...parameters) => targets.open(`owner-${number}`, ...parameters),
      readStatus,
      policies: {
        queue: VALUE_PER_SLOT_TIME,
        createConcurrencyLimit: createAdaptiveLimit,
        retryAfter: spreadRetryAfter,
      },
      events: {
        ...IGNORED_EVENTS.targets(GROUP),
        onOutlier: event => void events.push(event),
      },
      ownerCount: () => owners,
      outlierDetection: options.outlierDetection,
    });
    const registrations = TARGETS.map(target => ({
      target,
      group: GROUP,
      address: target,
      dataCentre: target,
      slots: SLOT_COUNT,
      isLeaving: false,
      role: target === TARGETS[0] ? ('primary' as const) : ('replica' as const),
      startedAt: 0,
    }));
    group.update(registrations, {
      group: GROUP,
      connectionLimit: CONNECTION_LIMIT,
      synchronousReplicas: 1,
    });
    timer.every(TICK_PERIOD_MS, group.tick);
    const dispatcher = createDispatcher({
      runtime,
      group: () => group,
      isPrimaryChanging: () => false,
    });

    function record(at: Milliseconds, result: DispatchResult): void {
      const {answer, target, attempts} = result;
      const duration = timer.now() - at;
      const isServed = answer.error === undefined;
      reads.push({at, duration, isServed, attempts, target});
    }

    let count = 0;
    function awaitArrival(): void {
      const ownRate = rate / owners / SECOND_MS;
      timer.after(-Math.log(1 - random.fraction()) / ownRate, () => {
        const request = requestOf(`${number}-${count++}`);
        const {arrivedAt} = request;
        runtime.spawn(
          'read',
          (function* () {
            record(arrivedAt, yield* dispatcher.dispatch(request));
          })(),
        );
        awaitArrival();
      });
    }
    awaitArrival();
  }

  for (let number = 1; number <= owners; number++) {
    startOwner(number);
  }
  timer.every(TICK_PERIOD_MS / 10, () => {
    for (const {target, connections} of targets.targets()) {
      const most = mostConnections.get(target) ?? 0;
      mostConnections.set(target, Math.max(most, connections()));
    }
  });

  return {
    timer,
    reads,
    events,
    /** Largest number of connections that a target had. */
    mostConnections: (target: string) => mostConnections.get(target) ?? 0,
    target: (name: string): StandInTarget => targets.target(name),
  };
}
