/** Replays the load of client accounts on a link to one target. */
import {
  VALUE_PER_SLOT_TIME,
  createAdaptiveLimit,
  spreadRetryAfter,
} from '@kelpstep/pool';
import {
  type Milliseconds,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type OpenTargetConnection,
  type OpenedConnection,
  createSessionSettings,
  localAnswer,
} from '@kelpstep/statements';
import {Ok, type Result} from 'ts-results';

import {createTargetLink} from '..';

const SLOT_COUNT = 4;
const OPENING_TIME_MS: Milliseconds = 12;
/** Connections for statements, fewer than there are accounts. */
const CONNECTION_COUNT = 10;
const DURATION_MS: Milliseconds = 20_000;

/** `ratio` is the share of all statements. */
export interface RouteLoad {
  readonly kind: string;
  readonly worth: number;
  readonly duration: Milliseconds;
  readonly timeout: Milliseconds;
  readonly ratio: number;
}

/** Routes of deployment A of docs/design/load-on-shared-targets.md. */
export const COSTLY_ROUTE: RouteLoad = {
  kind: 'costly',
  worth: 1,
  duration: 6,
  timeout: 401,
  ratio: 0.6,
};
const ROUTES: readonly RouteLoad[] = [
  COSTLY_ROUTE,
  {kind: 'bounded', worth: 1 / 2, duration: 30, timeout: 801, ratio: 0.2},
  {kind: 'own', worth: 1 / 3, duration: 18, timeout: 800, ratio: 0.2},
];
const MEAN_DURATION_MS = 13.2;
export const HOT_ACCOUNT = 'a0';
export const ACCOUNTS = Array.from({length: 24}, (unused, n) => `a${n}`);

/** A target that grants its slots in FIFO order, and a link to it. */
export function createLoadedLink(seed: number, connections = CONNECTION_COUNT) {
  const timer = createVirtualTimer();
  const waiting: Array<() => void> = [];
  let opened = 0;
  let busy = 0;

  function occupy(duration: Milliseconds, onEnd: () => void): void {
    if (busy >= SLOT_COUNT) {
      waiting.push(() => occupy(duration, onEnd));
      return;
    }
    busy += 1;
    timer.after(duration, () => {
      busy -= 1;
      onEnd();
      waiting.shift()?.();
    });
  }

  function connect(): OpenedConnection {
    const listeners: Array<() => void> = [];
    let isOpen = true;
    const connection: OpenedConnection['connection'] = {
      send(requests) {
        const result = createDeferred<Result<[], never>>();
        const body = requests.at(-1)?.body;
        const answer = localAnswer(body?.kind === 'begin' ? 'open' : 'idle');
        const duration = body?.kind === 'read' ? Number(body.item) : 0;
        const answers = requests.map(() => answer);
        occupy(duration, () => result.settle(Ok(answers as [])));
        return result.future;
      },
      isOpen: () => isOpen,
      close() {
        isOpen = false;
        listeners.splice(0).forEach(listener => listener());
      },
      onClosed: listener => listeners.push(listener),
    };
    return {connection, position: undefined, firstAnswers: []};
  }

  const open: OpenTargetConnection = () => {
    const result = createDeferred<Result<OpenedConnection, never>>();
    opened += 1;
    occupy(OPENING_TIME_MS, () => result.settle(Ok(connect())));
    return result.future;
  };

  const link = createTargetLink({
    runtime: createRuntime({timer, random: createRandom(seed)}),
    registration: {
      target: 't',
      group: 'g',
      address: 'a',
      dataCentre: 'd',
      slots: SLOT_COUNT,
      isLeaving: false,
      role: 'primary',
      startedAt: 0,
    },
    open,
    readStatus: () => undefined,
    policies: {
      queue: VALUE_PER_SLOT_TIME,
      createConcurrencyLimit: createAdaptiveLimit,
      retryAfter: spreadRetryAfter,
    },
    share: () => connections + 1,
    onPosition: () => {},
    onStatus: () => {},
    onReachability: () => {},
    onConnectionOpened: () => {},
    logEnd: () => undefined,
    onCommit: () => {},
    onStatementStart: () => {},
  });

  const createStatement = (route: RouteLoad, user: string | undefined) => ({
    kind: route.kind,
    worth: route.worth,
    deadline: timer.now() + route.timeout,
    user,
    settings: createSessionSettings(),
    shape: undefined,
    request: {body: {kind: 'read', item: String(route.duration)} as const},
    isAbandoned: () => false,
    onSent: () => {},
  });
  return {timer, link, opened: () => opened, createStatement};
}

/**
 * `load` is the demand of all accounts relative to the slots; `hot` multiplies
 * that of `HOT_ACCOUNT`, `burst` that of `COSTLY_ROUTE`.
 */
export interface LoadOptions {
  readonly seed: number;
  readonly load: number;
  readonly hot?: number;
  readonly burst?: number;
  readonly hasUsers?: boolean;
}

/** Replays the load; every account and route has arrivals of its own. */
export function replayLoad(options: LoadOptions) {
  const {seed, load, hot = 1, burst = 1, hasUsers = true} = options;
  const {timer, link, opened, createStatement} = createLoadedLink(seed);
  const log: Array<{account: string; kind: string; isServed: boolean}> = [];
  let goodput = 0;

  function run(account: string, route: RouteLoad): void {
    const statement = createStatement(route, hasUsers ? account : undefined);
    link.run(statement).onSettled(outcome => {
      const isServed =
        outcome.kind === 'answered' && timer.now() <= statement.deadline;
      goodput += isServed ? route.worth : 0;
      log.push({account, kind: route.kind, isServed});
    });
  }

  const perAccount = (load * SLOT_COUNT) / MEAN_DURATION_MS / ACCOUNTS.length;
  ACCOUNTS.forEach((account, number) =>
    ROUTES.forEach((route, index) => {
      const random = createRandom(seed * 1000 + number * 10 + index);
      const hotFactor = account === HOT_ACCOUNT ? hot : 1;
      const factor = hotFactor * (route === COSTLY_ROUTE ? burst : 1);
      const rate = perAccount * route.ratio * factor;
      const awaitArrival = () =>
        timer.after(-Math.log(1 - random.fraction()) / rate, () => {
          if (timer.now() < DURATION_MS) {
            run(account, route);
            awaitArrival();
          }
        });
      awaitArrival();
    }),
  );
  timer.advance(DURATION_MS + 3000);

  function countsOf(matches: (account: string, kind: string) => boolean) {
    const own = log.filter(({account, kind}) => matches(account, kind));
    const served = own.filter(({isServed}) => isServed).length;
    return {started: own.length, served};
  }
  return {goodput, opened: opened(), started: log.length, countsOf};
}
