/**
 * Runs statements at one target: each waits for admission, takes a connection
 * with the settings it needs, and gives it back or keeps it for a transaction.
 */
import {
  type AdmissionEntry,
  type AdmissionPolicies,
  type AdmittedRun,
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
  waitFor,
} from '@kelpstep/runtime';
import type {OpenFailure, StatementAnswer} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import {pinConnection} from './pinned_connection';
import type {QuestionConnection} from './question_connection';
import type {SharedConnection, SharedConnections} from './shared_connections';
import {exchangeStatement} from './statement_exchange';
import type {
  PinnedStart,
  StatementOutcome,
  StatementWork,
} from './statement_work';
import type {WriteProgress} from './write_progress';

/** What a runner is made of. */
export interface StatementRunnerOptions {
  readonly runtime: Runtime;
  readonly target: string;
  readonly slots: number;
  readonly policies: AdmissionPolicies;
  readonly connections: SharedConnections;
  readonly questionConnection: QuestionConnection;
  readonly writes: WriteProgress;
  /** Connections for statements that this proxy may hold at the target. */
  share(): number;
  onAnswers(askedAt: Milliseconds, answers: readonly StatementAnswer[]): void;
  /** No connection could be opened, and not for want of room. */
  onSilence(reason: string): void;
}

/** Runs statements at one target. */
export interface StatementRunner {
  run(work: StatementWork): Future<StatementOutcome>;
  /** Starts a transaction; `work.request` begins it. */
  pin(work: StatementWork): Future<PinnedStart>;
  /** Predicted time until a statement of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Starts what may start now; call it when a connection became free. */
  pump(): void;
  /** Refuses what waits and takes nothing more. */
  close(): void;
}

/** Statements that wait at a target at most. */
const QUEUE_CAPACITY = 500;

/** Given to work that nobody waits for any more. */
const ABANDONED = createFailure('OVERLOADED', {message: 'Nobody waits.'});
/** Given to work that waits when the target goes. */
const GONE = createFailure('OVERLOADED', {message: 'The target is gone.'});

interface Entry extends AdmissionEntry {
  readonly work: StatementWork;
  serve(run: AdmittedRun): Task<void>;
}

type Obtained = Result<SharedConnection, OpenFailure>;

/** Creates a runner with nothing waiting. */
export function createStatementRunner(
  options: StatementRunnerOptions,
): StatementRunner {
  const {runtime, connections, questionConnection, writes, target} = options;
  const {timer} = runtime;
  let arrivals = 0;
  let isClosed = false;
  const admission = createAdmission<Entry>({
    runtime,
    slots: options.slots,
    policies: options.policies,
    queueCapacity: QUEUE_CAPACITY,
    connectionShare: () => Math.max(options.share(), connections.count()),
    onReady: pump,
  });

  function pump(): void {
    while (
      !isClosed &&
      admission.mayStart() &&
      (connections.hasIdle() ||
        connections.mayOpen() ||
        questionConnection.mayLend())
    ) {
      const entry = admission.next();
      if (entry === undefined) {
        return;
      }
      if (entry.work.isAbandoned()) {
        entry.refuse(ABANDONED);
        continue;
      }
      const run = admission.start(entry);
      runtime.spawn('statement', entry.serve(run));
    }
  }

  function* obtain(work: StatementWork): Task<Obtained> {
    const idle = connections.take(work.user, work.settings);
    if (idle !== undefined) {
      return Ok(idle);
    }
    if (!connections.mayOpen() && !connections.makeRoom()) {
      return lendQuestions(work);
    }
    const opened = yield* waitFor(connections.open(work.user));
    if (opened.ok) {
      return opened;
    }
    if (opened.val === 'tooManyConnections') {
      return lendQuestions(work);
    }
    options.onSilence(opened.val);
    return opened;
  }

  /**
   * The connection for questions is the proxy's own, and a transaction would keep
   * questions waiting.
   */
  function lendQuestions({request, user}: StatementWork): Obtained {
    const mayBorrow = user === undefined && request.body.kind !== 'begin';
    const lent = mayBorrow ? questionConnection.lend() : undefined;
    return lent === undefined ? Err('tooManyConnections') : Ok(lent);
  }

  function release(shared: SharedConnection): void {
    if (questionConnection.owns(shared)) {
      questionConnection.takeBack(shared);
    } else {
      connections.giveBack(shared);
    }
  }

  function endRun(run: AdmittedRun, answer: StatementAnswer): void {
    const isBusy = answer.error?.name === 'busy';
    run.end(isBusy ? 'exhausted' : 'answered', answer.error !== undefined);
  }

  function giveBack(shared: SharedConnection, answer: StatementAnswer): void {
    if (answer.state !== 'idle') {
      shared.connection.close();
    }
    release(shared);
  }

  function* attempt(
    work: StatementWork,
    run: AdmittedRun,
  ): Task<{outcome: StatementOutcome; shared?: SharedConnection}> {
    const obtained = yield* obtain(work);
    if (obtained.err) {
      run.end('lost', true);
      return {outcome: {kind: 'unreached', failure: obtained.val}};
    }
    const shared = obtained.val;
    const remaining = work.deadline - timer.now();
    if (remaining <= 0 || work.isAbandoned()) {
      run.end('lost', true);
      release(shared);
      return {outcome: {kind: 'refused', retryAfter: 0}};
    }
    work.onSent();
    run.sent();
    const reply = yield* exchangeStatement({
      timer,
      shared,
      work,
      timeout: remaining,
      isInTransaction: false,
      writes,
      onAnswers: options.onAnswers,
    });
    if (reply.err) {
      run.end('lost', true);
      release(shared);
      return {outcome: {kind: 'lost'}};
    }
    endRun(run, reply.val);
    return {outcome: {kind: 'answered', answer: reply.val}, shared};
  }

  function* serveStatement(
    work: StatementWork,
    run: AdmittedRun,
    result: Deferred<StatementOutcome>,
  ): Task<void> {
    const {outcome, shared} = yield* attempt(work, run);
    if (shared !== undefined && outcome.kind === 'answered') {
      giveBack(shared, outcome.answer);
    }
    result.settle(outcome);
    pump();
  }

  function* servePin(
    work: StatementWork,
    run: AdmittedRun,
    result: Deferred<PinnedStart>,
  ): Task<void> {
    const {outcome, shared} = yield* attempt(work, run);
    if (shared === undefined || outcome.kind !== 'answered') {
      result.settle({outcome, pinned: undefined});
    } else if (outcome.answer.error === undefined && !work.isAbandoned()) {
      const pinned = pinConnection({
        runtime,
        target,
        shared,
        settings: work.settings,
        writes,
        onAnswers: options.onAnswers,
        giveBack: connections.giveBack,
      });
      result.settle({outcome, pinned});
    } else {
      giveBack(shared, outcome.answer);
      result.settle({outcome, pinned: undefined});
    }
    pump();
  }

  function admit(
    work: StatementWork,
    serve: (run: AdmittedRun) => Task<void>,
    refuse: (retryAfter: Milliseconds) => void,
  ): void {
    arrivals += 1;
    admission.add({
      work,
      kind: work.kind,
      worth: work.worth,
      deadline: work.deadline,
      expected: admission.expected(work.kind),
      order: arrivals,
      serve,
      refuse: failure => refuse(failure.retryAfter ?? 0),
    });
    pump();
  }

  return {
    run(work) {
      const result = createDeferred<StatementOutcome>();
      admit(
        work,
        run => serveStatement(work, run, result),
        retryAfter => result.settle({kind: 'refused', retryAfter}),
      );
      return result.future;
    },
    pin(work) {
      const result = createDeferred<PinnedStart>();
      admit(
        work,
        run => servePin(work, run, result),
        retryAfter =>
          result.settle({
            outcome: {kind: 'refused', retryAfter},
            pinned: undefined,
          }),
      );
      return result.future;
    },
    expectedTime: admission.expectedTime,
    pump,
    close() {
      isClosed = true;
      for (const entry of admission.takeAll()) {
        entry.refuse(GONE);
      }
    },
  };
}
