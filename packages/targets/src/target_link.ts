/**
 * One target as this proxy uses it: admission of statements, the connections
 * that sessions share, and one connection of its own for questions, which also
 * tells whether the target is reached.
 */
import {type LogPosition, createFailure} from '@kelpstep/protocol';
import {
  type AdmissionEntry,
  type AdmissionPolicies,
  type AdmittedRun,
  createAdmission,
} from '@kelpstep/pool';
import {
  type Deferred,
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
  mapFuture,
  settledFuture,
  waitFor,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type OpenFailure,
  type OpenTargetConnection,
  type PreparedShape,
  type ReadTargetStatus,
  type SessionSettings,
  type StatementAnswer,
  type TargetOrder,
  type TargetRequest,
  type TargetStatus,
  noteApplied,
  planDifference,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {TargetRegistration} from './registration';
import {createQuestionConnection} from './question_connection';
import {
  type SharedConnection,
  createSharedConnections,
} from './shared_connections';

/** A statement outside a transaction, or the start of one. */
export interface StatementWork {
  /** Names statements that take about the same time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time by which the answer must be there. */
  readonly deadline: Milliseconds;
  readonly settings: SessionSettings;
  readonly shape: PreparedShape | undefined;
  readonly request: TargetRequest;
  /** True once nobody waits for the answer any more. */
  isAbandoned(): boolean;
}

/** What became of a statement. */
export type StatementOutcome =
  | {readonly kind: 'answered'; readonly answer: StatementAnswer}
  /** Refused here: nothing was sent. */
  | {readonly kind: 'refused'; readonly retryAfter: Milliseconds}
  /** No connection could be had: nothing was sent. */
  | {readonly kind: 'unreached'; readonly failure: OpenFailure}
  /** Sent, and no answer came. */
  | {readonly kind: 'lost'};

/** A connection that a transaction keeps. */
export interface PinnedConnection {
  readonly target: string;
  /** Sends a statement; the session's settings are applied before it. */
  send(
    request: TargetRequest,
    shape: PreparedShape | undefined,
    timeout: Milliseconds,
  ): Future<Result<StatementAnswer, ConnectionLoss>>;
  /** Gives the connection back; one inside a transaction is closed. */
  end(): void;
}

/** What became of the start of a transaction. */
export interface PinnedStart {
  readonly outcome: StatementOutcome;
  /** There if the target has begun the transaction. */
  readonly pinned: PinnedConnection | undefined;
}

/** Answer to a question of the proxy's own. */
export type OrderReply = Result<StatementAnswer, ConnectionLoss | OpenFailure>;

/** What a link is made of. */
export interface TargetLinkOptions {
  readonly runtime: Runtime;
  readonly registration: TargetRegistration;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  /** Connections that this proxy may hold at the target at most. */
  share(): number;
  /** Called with the log's end whenever the target told it. */
  onPosition(askedAt: Milliseconds, position: LogPosition): void;
  onStatus(askedAt: Milliseconds, status: TargetStatus): void;
  /** The target is reached again, or no more. */
  onReachability(isReached: boolean, reason: string): void;
}

/** One target as this proxy uses it. */
export interface TargetLink {
  readonly target: string;
  registration(): TargetRegistration;
  update(registration: TargetRegistration): void;
  run(work: StatementWork): Future<StatementOutcome>;
  /** Starts a transaction; `work.request` begins it. */
  pin(work: StatementWork): Future<PinnedStart>;
  /** Asks on the link's own connection. */
  order(order: TargetOrder, timeout: Milliseconds): Future<OrderReply>;
  /** Asks for the log's end. */
  probe(): Future<boolean>;
  /** Asks how the target sees itself. */
  askStatus(): Future<TargetStatus | undefined>;
  /** Predicted time until a statement of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Shortest round trip seen; undefined before any. */
  roundTrip(): Milliseconds | undefined;
  /** False after a failed question, until one is answered again. */
  isReached(): boolean;
  /** Since when no question was answered; undefined while they are. */
  silentSince(): Milliseconds | undefined;
  lastAskedAt(): Milliseconds;
  connections(): number;
  queued(): number;
  close(): void;
}

/**
 * Time for the answer to a question. The longest round trip between regions is
 * tens of milliseconds; a target answers these without a slot.
 */
const QUESTION_TIMEOUT: Milliseconds = 400;
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

/** Creates the link to a target; nothing is opened before it is needed. */
export function createTargetLink(options: TargetLinkOptions): TargetLink {
  const {runtime, policies, onPosition} = options;
  const {timer} = runtime;
  let registration = options.registration;
  const {target, group, address} = registration;
  const place = {target, group, address};
  let order = 0;
  let shortestRoundTrip: Milliseconds | undefined;
  let silentSince: Milliseconds | undefined;
  let lastAskedAt = -Infinity;
  let isClosed = false;

  const connections = createSharedConnections({
    timer,
    target: place,
    open: options.open,
    share: () => Math.max(1, options.share() - 1),
    onRoom: pump,
    onOpened: (askedAt, {position}) => {
      heard(askedAt);
      if (position !== undefined) {
        onPosition(askedAt, position);
      }
    },
  });
  const questions = createQuestionConnection(place, options.open);
  const admission = createAdmission<Entry>({
    runtime,
    slots: registration.slots,
    policies,
    queueCapacity: QUEUE_CAPACITY,
    connectionShare: () => Math.max(1, options.share() - 1),
    onReady: pump,
  });

  function heard(askedAt: Milliseconds): void {
    lastAskedAt = Math.max(lastAskedAt, askedAt);
    if (silentSince !== undefined) {
      silentSince = undefined;
      options.onReachability(true, 'answered');
    }
  }

  function unheard(reason: string): void {
    if (silentSince === undefined) {
      silentSince = timer.now();
      options.onReachability(false, reason);
    }
  }

  function noteAnswers(
    askedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void {
    heard(askedAt);
    const position = answers[answers.length - 1]?.position;
    if (position !== undefined) {
      onPosition(askedAt, position);
    }
  }

  function pump(): void {
    while (
      !isClosed &&
      admission.mayStart() &&
      (connections.hasIdle() || connections.mayOpen())
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

  function* obtain(settings: SessionSettings): Task<Obtained> {
    const idle = connections.take(settings);
    if (idle !== undefined) {
      return Ok(idle);
    }
    const opened = yield* waitFor(connections.open());
    if (opened.err && opened.val !== 'tooManyConnections') {
      unheard(opened.val);
    }
    return opened;
  }

  /** Applies the settings and sends, in one write. */
  function* exchange(
    shared: SharedConnection,
    work: Pick<StatementWork, 'settings' | 'shape' | 'request'>,
    timeout: Milliseconds,
    isInTransaction: boolean,
  ): Task<Result<StatementAnswer, ConnectionLoss>> {
    const {applied, connection} = shared;
    const {settings: session, shape, request} = work;
    const before = planDifference({applied, session, shape, isInTransaction});
    const askedAt = timer.now();
    const sent = connection.send([...before, request], timeout);
    // Noted at once: what follows on this connection comes after it.
    noteApplied(applied, before);
    const reply = yield* waitFor(sent);
    if (reply.err) {
      connection.close();
      return reply;
    }
    noteAnswers(askedAt, reply.val);
    const isPrepared = reply.val
      .slice(0, before.length)
      .every(({error}) => error === undefined);
    const answer = reply.val[before.length];
    if (!isPrepared || answer === undefined) {
      connection.close();
      return Err('closed');
    }
    return Ok(answer);
  }

  function endRun(run: AdmittedRun, answer: StatementAnswer): void {
    const isBusy = answer.error?.name === 'busy';
    run.end(isBusy ? 'exhausted' : 'answered', answer.error !== undefined);
  }

  function giveBack(shared: SharedConnection, answer: StatementAnswer): void {
    if (answer.state !== 'idle') {
      shared.connection.close();
    }
    connections.giveBack(shared);
  }

  function* attempt(
    work: StatementWork,
    run: AdmittedRun,
  ): Task<{outcome: StatementOutcome; shared?: SharedConnection}> {
    const obtained = yield* obtain(work.settings);
    if (obtained.err) {
      run.end('lost', true);
      return {outcome: {kind: 'unreached', failure: obtained.val}};
    }
    const shared = obtained.val;
    const remaining = work.deadline - timer.now();
    if (remaining <= 0 || work.isAbandoned()) {
      run.end('lost', true);
      connections.giveBack(shared);
      return {outcome: {kind: 'refused', retryAfter: 0}};
    }
    const reply = yield* exchange(shared, work, remaining, false);
    if (reply.err) {
      run.end('lost', true);
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

  function pinned(
    shared: SharedConnection,
    settings: SessionSettings,
  ): PinnedConnection {
    let state = 'open';
    function* send(
      request: TargetRequest,
      shape: PreparedShape | undefined,
      timeout: Milliseconds,
      result: Deferred<Result<StatementAnswer, ConnectionLoss>>,
    ): Task<void> {
      const work = {settings, shape, request};
      const reply = yield* exchange(shared, work, timeout, true);
      state = reply.ok ? reply.val.state : 'failed';
      result.settle(reply);
    }
    return {
      target,
      send(request, shape, timeout) {
        const result =
          createDeferred<Result<StatementAnswer, ConnectionLoss>>();
        runtime.spawn('pinned', send(request, shape, timeout, result));
        return result.future;
      },
      end() {
        if (state !== 'idle') {
          shared.connection.close();
        }
        connections.giveBack(shared);
      },
    };
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
      result.settle({outcome, pinned: pinned(shared, work.settings)});
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
    order += 1;
    admission.add({
      work,
      kind: work.kind,
      worth: work.worth,
      deadline: work.deadline,
      expected: admission.expected(work.kind),
      order,
      serve,
      refuse: failure => refuse(failure.retryAfter ?? 0),
    });
    pump();
  }

  function* ask(
    question: TargetOrder,
    timeout: Milliseconds,
    result: Deferred<OrderReply>,
  ): Task<void> {
    const opened = yield* waitFor(questions.get());
    if (opened.err) {
      if (opened.val !== 'tooManyConnections') {
        unheard(opened.val);
      }
      result.settle(opened);
      return;
    }
    const connection = opened.val;
    const askedAt = timer.now();
    const sent = connection.send([{body: question}], timeout);
    const reply = yield* waitFor(sent);
    if (reply.err) {
      connection.close();
      result.settle(reply);
      return;
    }
    shortestRoundTrip = Math.min(
      shortestRoundTrip ?? Infinity,
      timer.now() - askedAt,
    );
    noteAnswers(askedAt, reply.val);
    result.settle(Ok(reply.val[0] as StatementAnswer));
  }

  function askOnce(
    question: TargetOrder,
    timeout: Milliseconds,
  ): Future<OrderReply> {
    const result = createDeferred<OrderReply>();
    runtime.spawn('question', ask(question, timeout, result));
    return result.future;
  }

  /** A dead connection is told from a dead target by a fresh one. */
  function* askTwice(
    question: TargetOrder,
    timeout: Milliseconds,
    result: Deferred<OrderReply>,
  ): Task<void> {
    const first = yield* waitFor(askOnce(question, timeout));
    const isLoss =
      first.err && (first.val === 'closed' || first.val === 'timed out');
    if (!isLoss || isClosed) {
      result.settle(first);
      return;
    }
    const second = yield* waitFor(askOnce(question, timeout));
    if (second.err) {
      unheard(second.val);
    }
    result.settle(second);
  }

  function orderTarget(
    question: TargetOrder,
    timeout: Milliseconds,
  ): Future<OrderReply> {
    if (isClosed) {
      return settledFuture(Err('closed'));
    }
    const result = createDeferred<OrderReply>();
    runtime.spawn('order', askTwice(question, timeout, result));
    return result.future;
  }

  function askStatus(): Future<TargetStatus | undefined> {
    const askedAt = timer.now();
    const reply = orderTarget({kind: 'status'}, QUESTION_TIMEOUT);
    return mapFuture(reply, result => {
      const status = result.ok ? options.readStatus(result.val) : undefined;
      if (status !== undefined) {
        options.onStatus(askedAt, status);
      }
      return status;
    });
  }

  return {
    target,
    registration: () => registration,
    update(next) {
      registration = next;
    },
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
    order: orderTarget,
    probe: () =>
      mapFuture(
        orderTarget({kind: 'reset'}, QUESTION_TIMEOUT),
        reply => reply.ok,
      ),
    askStatus,
    expectedTime: admission.expectedTime,
    roundTrip: () => shortestRoundTrip,
    isReached: () => silentSince === undefined,
    silentSince: () => silentSince,
    lastAskedAt: () => lastAskedAt,
    connections: () => connections.count() + (questions.isOpen() ? 1 : 0),
    queued: admission.queued,
    close() {
      isClosed = true;
      for (const entry of admission.takeAll()) {
        entry.refuse(GONE);
      }
      connections.closeAll();
      questions.close();
    },
  };
}
