/**
 * A fake target with slots, a connection limit and service times, and a pool of
 * connections to it.
 */
import {Member} from '@kelpstep/manifest';
import {createFailure, targetExecute, targetStatus} from '@kelpstep/protocol';
import {
  Connection,
  RequestFailure,
  createHandlerTable,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {createFakeNetwork} from '@kelpstep/stand-ins';
import {Err, Ok, Result} from 'ts-results';

import {
  DEFAULT_CONNECTION_TIMES,
  PoolPolicies,
  TargetPoolOptions,
  VALUE_PER_SLOT_TIME,
  createAdaptiveLimit,
  createTargetPool,
  equalShare,
  spreadRetryAfter,
} from '..';

export const PROXY = '10.0.0.1';
export const TARGET = '10.0.1.1';
const ADDRESS = `${TARGET}:7000`;

export const TEST_POLICIES: PoolPolicies = {
  queue: VALUE_PER_SLOT_TIME,
  createConcurrencyLimit: createAdaptiveLimit,
  retryAfter: spreadRetryAfter,
  connectionShare: equalShare,
};

/**
 * Name of a statement's result or error, and the virtual time at which it
 * ended.
 */
export interface Outcome {
  readonly name: string;
  readonly at: number;
  readonly sent: boolean;
  readonly retryAfter: number | undefined;
}

export interface FakeTargetOptions extends Partial<TargetPoolOptions> {
  readonly slots?: number;
  readonly connectionLimit?: number;
  /** Connections of other proxies, which count towards the limit. */
  readonly otherConnections?: number;
}

/** The text of a statement is its service time in milliseconds, such as `5`. */
export function createFakeTarget(options: FakeTargetOptions = {}) {
  const timer = createVirtualTimer();
  const random = createRandom(7);
  const network = createFakeNetwork({timer, random});
  const slots = options.slots ?? 3;
  const member: Member = {
    id: 'a',
    dataCentre: 'lima',
    address: ADDRESS,
    state: 'serving',
    slots,
    connectionLimit: options.connectionLimit ?? 20,
  };
  const serverTimer = network.timerFor(TARGET);
  const counts = {connections: 0, running: 0, peak: 0, executed: 0};
  let otherConnectionCount = options.otherConnections ?? 0;

  function createRefusal(name: 'SLOTS_EXHAUSTED' | 'CONNECTIONS_EXHAUSTED') {
    return settledFuture<Result<never, ReturnType<typeof createFailure>>>(
      Err(createFailure(name)),
    );
  }

  function accept(connection: Connection): void {
    counts.connections += 1;
    const isOver =
      counts.connections + otherConnectionCount > member.connectionLimit;
    const handlers = createHandlerTable()
      .handle(targetStatus, () =>
        isOver ? createRefusal('CONNECTIONS_EXHAUSTED') : status(),
      )
      .handle(targetExecute, ({statement}) => execute(Number(statement.text)));
    const peer = createRpcPeer({connection, timer: serverTimer, handlers});
    peer.closed.onSettled(() => {
      counts.connections -= 1;
    });
  }

  function status() {
    return settledFuture(
      Ok({
        target: 'a',
        incarnation: '1',
        role: 'primary' as const,
        term: 1,
        end: {term: 1, position: 1},
        history: [],
        slots,
        connectionLimit: member.connectionLimit,
      }),
    );
  }

  function execute(duration: number) {
    if (counts.running >= slots) {
      return createRefusal('SLOTS_EXHAUSTED');
    }
    counts.running += 1;
    counts.peak = Math.max(counts.peak, counts.running);
    const done =
      createDeferred<
        Result<
          {rows: []; at: {term: number; position: number}; duplicate: boolean},
          never
        >
      >();
    serverTimer.after(duration, () => {
      counts.running -= 1;
      counts.executed += 1;
      done.settle(Ok({rows: [], at: {term: 1, position: 1}, duplicate: false}));
    });
    return done.future;
  }

  network.transportFor(TARGET).listen(ADDRESS, accept);
  const runtime = createRuntime({timer: network.timerFor(PROXY), random});
  const pool = createTargetPool({
    runtime,
    transport: network.transportFor(PROXY),
    member,
    liveProxies: 2,
    policies: TEST_POLICIES,
    times: DEFAULT_CONNECTION_TIMES,
    queueCapacity: 100,
    ...options,
  });
  const outcomes: Outcome[] = [];

  function requestOf(duration: number, deadline: number, worth: number) {
    return {
      work: {
        kind: `takes-${duration}`,
        worth,
        deadline: timer.now() + deadline,
      },
      method: targetExecute,
      parameters: {
        statement: {text: `${duration}`, parameters: []},
        mode: 'read' as const,
      },
      timeout: deadline,
    };
  }

  function recordOutcome(
    name: string,
    failure: RequestFailure | undefined,
  ): void {
    outcomes.push({
      name: failure === undefined ? name : failure.failure.name,
      at: timer.now(),
      sent: failure?.sent ?? true,
      retryAfter: failure?.failure.retryAfter,
    });
  }

  /** Sends a statement. Its outcome is added to `outcomes`. */
  function send(duration: number, deadline = 1000, worth = 1, name = 'ok') {
    pool
      .run(requestOf(duration, deadline, worth))
      .onSettled(({reply}) =>
        recordOutcome(name, reply.err ? reply.val : undefined),
      );
  }

  function outcomeNames(): string[] {
    return outcomes.map(({name}) => name);
  }

  return {
    timer,
    network,
    pool,
    counts,
    outcomes,
    outcomeNames,
    send,
    requestOf,
    setOtherConnections(count: number) {
      otherConnectionCount = count;
    },
  };
}
