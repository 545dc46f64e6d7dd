/**
 * Runs statements on one target. Each statement waits for admission, takes a
 * connection, and afterwards releases it or pins it for a transaction.
 */
import {
  type AdmissionEntry,
  type AdmissionPolicies,
  type RunningRequest,
  createAdmission,
} from '@kelpstep/pool';
import {createFailure} from '@kelpstep/protocol';
import {
  type Deferred,
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
} from '@kelpstep/runtime';
import type {StatementAnswer} from '@kelpstep/statements';

import {createConnectionSource} from './connection_source';
import {createConnectionWaits} from './connection_waits';
import {createPinTimes} from './pin_times';
import {pinConnection} from './pinned_connection';
import type {ControlConnection} from './control_connection';
import type {SharedConnection, SharedConnections} from './shared_connections';
import {exchangeStatement} from './statement_exchange';
import type {
  PinnedStart,
  ConnectionNeed,
  ConnectionWait,
  StatementOutcome,
  StatementRequest,
  LinkLoad,
} from './statement_request';
import type {WriteProgress} from './write_progress';

export interface StatementRunnerOptions {
  readonly runtime: Runtime;
  readonly target: string;
  readonly slots: number;
  readonly policies: AdmissionPolicies;
  readonly connections: SharedConnections;
  readonly controlConnection: ControlConnection;
  readonly writes: WriteProgress;
  /** Number of statement connections that this proxy may hold to the target. */
  share(): number;
  onAnswers(
    requestedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void;
  /**
   * Called when opening a connection failed, except at the connection limit.
   */
  onUnresponsive(reason: string): void;
  /** Called when a statement starts, with the time that it was queued. */
  onStart(queueTime: Milliseconds): void;
}

/** Runs statements on one target, in the order of admission. */
export interface StatementRunner {
  run(statement: StatementRequest): Future<StatementOutcome>;
  /** Begins a transaction by `statement.request` and pins its connection. */
  pin(statement: StatementRequest): Future<PinnedStart>;
  /** Predicted time until a statement of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** See `TargetLink.connectionWait`. */
  connectionWait(need: ConnectionNeed): ConnectionWait;
  /** See `TargetLink.load`. */
  load(): LinkLoad;
  /** Predicted time until a new statement starts. */
  startWait(): Milliseconds;
  /** Number of statements that may run concurrently; at least 1. */
  concurrencyLimit(): number;
  /**
   * Drops measured service times, which may date from a time when the target
   * was slow: no read would be sent there to correct them.
   */
  resetServiceTimes(): void;
  /** Ends all queued statements that another target may run. */
  withdrawQueued(): void;
  /** Starts queued statements; call it when a connection becomes available. */
  dispatch(): void;
  /** Refuses all queued statements and starts no more. */
  close(): void;
}

/** Maximum number of statements queued for a target. */
const QUEUE_CAPACITY = 500;

/** Refusal of a statement whose caller no longer waits. */
const ABANDONED = createFailure('OVERLOADED', {message: 'Nobody waits.'});
/** Refusal of statements that are queued when the target is removed. */
const TARGET_REMOVED = createFailure('OVERLOADED', {
  message: 'The target is gone.',
});

interface QueuedStatement extends AdmissionEntry {
  readonly statement: StatementRequest;
  readonly queuedAt: Milliseconds;
  serve(run: RunningRequest): Task<void>;
  end(outcome: StatementOutcome): void;
}

/** Creates a runner with an empty queue. */
export function createStatementRunner(
  options: StatementRunnerOptions,
): StatementRunner {
  const {runtime, connections, writes, target} = options;
  const source = createConnectionSource(options);
  const {timer} = runtime;
  const pins = createPinTimes();
  let arrivals = 0;
  let isClosed = false;
  const admission = createAdmission<QueuedStatement>({
    runtime,
    slots: options.slots,
    policies: options.policies,
    queueCapacity: QUEUE_CAPACITY,
    connectionShare: () => Math.max(options.share(), connections.count()),
    conditions: {
      setupTime: ({statement}) => connections.setupTime(statement.user),
      isHeld: (entries, isSlotUnused) =>
        connectionWaits.isWaiting({
          user: entries[0]?.statement.user,
          latestStart: Math.min(
            ...entries.map(options.policies.queue.latestStart),
          ),
          expected: entries.map(({expected}) => expected),
          isSlotUnused,
        }),
    },
    onReady: dispatch,
  });
  const connectionWaits = createConnectionWaits({
    timer,
    connections,
    onWaitEnd: dispatch,
  });

  function dispatch(): void {
    while (!isClosed && admission.mayStart() && source.isAvailable()) {
      const entry = admission.next();
      if (entry === undefined) {
        return;
      }
      if (entry.statement.isAbandoned()) {
        entry.refuse(ABANDONED);
        continue;
      }
      options.onStart(timer.now() - entry.queuedAt);
      const run = admission.start(entry);
      runtime.spawn('statement', entry.serve(run));
    }
  }

  function endRun(run: RunningRequest, answer: StatementAnswer): void {
    const isBusy = answer.error?.name === 'busy';
    run.end(isBusy ? 'exhausted' : 'answered', answer.error !== undefined);
  }

  function releaseAfter(
    shared: SharedConnection,
    answer: StatementAnswer,
  ): void {
    if (answer.state !== 'idle') {
      shared.connection.close();
    }
    source.release(shared);
  }

  function* attempt(
    statement: StatementRequest,
    run: RunningRequest,
  ): Task<{outcome: StatementOutcome; shared?: SharedConnection}> {
    const acquired = yield* source.acquire(statement);
    if (acquired.err) {
      run.end('lost', true);
      return {outcome: {kind: 'unreached', failure: acquired.val}};
    }
    const shared = acquired.val;
    const remaining = statement.deadline - timer.now();
    if (remaining <= 0 || statement.isAbandoned()) {
      run.end('lost', true);
      source.release(shared);
      return {outcome: {kind: 'refused', retryAfter: 0}};
    }
    statement.onSent();
    run.sent();
    const reply = yield* exchangeStatement({
      timer,
      shared,
      statement,
      timeout: remaining,
      isInTransaction: false,
      writes,
      onAnswers: options.onAnswers,
    });
    if (reply.err) {
      run.end('lost', true);
      source.release(shared);
      return {outcome: {kind: 'lost'}};
    }
    endRun(run, reply.val);
    return {outcome: {kind: 'answered', answer: reply.val}, shared};
  }

  function* serveStatement(
    statement: StatementRequest,
    run: RunningRequest,
    result: Deferred<StatementOutcome>,
  ): Task<void> {
    const {user, kind} = statement;
    const removeUse = connectionWaits.add(user, admission.expected(kind));
    const {outcome, shared} = yield* attempt(statement, run);
    removeUse();
    if (shared !== undefined && outcome.kind === 'answered') {
      releaseAfter(shared, outcome.answer);
    }
    result.settle(outcome);
    dispatch();
  }

  function* servePin(
    statement: StatementRequest,
    run: RunningRequest,
    result: Deferred<PinnedStart>,
  ): Task<void> {
    const {outcome, shared} = yield* attempt(statement, run);
    if (shared === undefined || outcome.kind !== 'answered') {
      result.settle({outcome, pinned: undefined});
    } else if (outcome.answer.error === undefined && !statement.isAbandoned()) {
      const endPin = pins.begin(timer.now());
      const pinned = pinConnection({
        runtime,
        target,
        shared,
        settings: statement.settings,
        writes,
        onAnswers: options.onAnswers,
        release(released) {
          endPin(timer.now());
          connections.release(released);
        },
      });
      result.settle({outcome, pinned});
    } else {
      releaseAfter(shared, outcome.answer);
      result.settle({outcome, pinned: undefined});
    }
    dispatch();
  }

  function connectionWait({
    user,
    kind,
    isBegin,
  }: ConnectionNeed): ConnectionWait {
    const mayBorrow =
      user === undefined && !isBegin && options.controlConnection.canBorrow();
    if (connections.isAvailable() || mayBorrow) {
      return {untilRelease: 0, isPinned: false};
    }
    const unpinned = connections.count() - pins.count();
    return unpinned > 0
      ? {untilRelease: admission.expected(kind) / unpinned, isPinned: false}
      : {untilRelease: pins.expectedRelease(timer.now()), isPinned: true};
  }

  function load(): LinkLoad {
    const idle = connections.idleCount();
    const inUse = connections.openCount() - idle;
    // A pin may last longer than its connection, which the target can close.
    const pinned = Math.min(pins.count(), inUse);
    return {idle, used: inUse - pinned, pinned, queued: admission.queued()};
  }

  function admit(
    statement: StatementRequest,
    serve: (run: RunningRequest) => Task<void>,
    end: (outcome: StatementOutcome) => void,
  ): void {
    arrivals += 1;
    admission.add({
      statement,
      kind: statement.kind,
      worth: statement.worth,
      deadline: statement.deadline,
      expected: admission.expected(statement.kind),
      order: arrivals,
      account: statement.user,
      queuedAt: timer.now(),
      serve,
      end,
      refuse: ({retryAfter = 0}) => end({kind: 'refused', retryAfter}),
    });
    dispatch();
  }

  return {
    run(statement) {
      const result = createDeferred<StatementOutcome>();
      admit(
        statement,
        run => serveStatement(statement, run, result),
        outcome => result.settle(outcome),
      );
      return result.future;
    },
    pin(statement) {
      const result = createDeferred<PinnedStart>();
      admit(
        statement,
        run => servePin(statement, run, result),
        outcome => result.settle({outcome, pinned: undefined}),
      );
      return result.future;
    },
    expectedTime: admission.expectedTime,
    connectionWait,
    load,
    startWait: admission.startWait,
    concurrencyLimit: admission.limit,
    resetServiceTimes: admission.resetServiceTimes,
    withdrawQueued() {
      const withdrawn = admission.takeMatching(
        ({statement}) => statement.isMovable === true,
      );
      withdrawn.forEach(({end}) => end({kind: 'withdrawn'}));
    },
    dispatch,
    close() {
      isClosed = true;
      for (const entry of admission.takeAll()) {
        entry.refuse(TARGET_REMOVED);
      }
    },
  };
}
