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
  type OpenFailure,
  type OpenTargetConnection,
  type ReadTargetStatus,
  type StatementAnswer,
  type TargetOrder,
  type TargetStatus,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {TargetRegistration} from './registration';
import {pinConnection} from './pinned_connection';
import {createQuestionConnection} from './question_connection';
import {type OrderReply, createTargetQuestions} from './target_questions';
import {exchangeStatement} from './statement_exchange';
import type {
  PinnedStart,
  StatementOutcome,
  StatementWork,
} from './statement_work';
import {
  type SharedConnection,
  createSharedConnections,
} from './shared_connections';
import {createWriteProgress} from './write_progress';

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
  order(
    order: TargetOrder,
    timeout: Milliseconds,
    /** Monotonic time after which it isn't sent any more; never by default. */
    sendUntil?: Milliseconds,
  ): Future<OrderReply>;
  /** Asks for the log's end. */
  probe(): Future<boolean>;
  /** Asks how the target sees itself. */
  askStatus(): Future<TargetStatus | undefined>;
  /** Predicted time until a statement of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Shortest round trip seen. */
  roundTrip(): Milliseconds | undefined;
  /** False after a failed question, until one is answered again. */
  isReached(): boolean;
  /** Since when no question was answered; undefined while they are. */
  silentSince(): Milliseconds | undefined;
  lastAskedAt(): Milliseconds;
  /** Since when writes wait and none is answered; undefined if none waits. */
  writesStalledSince(): Milliseconds | undefined;
  /** Closes what is open beyond need; call it a few times a second. */
  trim(): void;
  close(): void;
}

/**
 * Time for the answer to a question. The longest round trip between regions is
 * tens of milliseconds; a target answers these without a slot. With the time to
 * open a connection it is most of the time in which a silent target is found.
 */
const QUESTION_TIMEOUT: Milliseconds = 250;
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
  const {target} = registration;
  const place = options.registration;
  let arrivals = 0;
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
  const writes = createWriteProgress(timer);
  const questionConnection = createQuestionConnection(place, options.open);
  const questions = createTargetQuestions({
    runtime,
    connection: questionConnection,
    onAnswers: noteAnswers,
    onRoundTrip(duration) {
      shortestRoundTrip = Math.min(shortestRoundTrip ?? Infinity, duration);
    },
    onSilence: unheard,
  });
  const admission = createAdmission<Entry>({
    runtime,
    slots: registration.slots,
    policies,
    queueCapacity: QUEUE_CAPACITY,
    connectionShare: () =>
      Math.max(1, options.share() - 1, connections.count()),
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
    const idle = connections.take(work.settings);
    if (idle !== undefined) {
      return Ok(idle);
    }
    if (!connections.mayOpen()) {
      return lendQuestions(work);
    }
    const opened = yield* waitFor(connections.open());
    if (opened.ok) {
      return opened;
    }
    if (opened.val === 'tooManyConnections') {
      return lendQuestions(work);
    }
    unheard(opened.val);
    return opened;
  }

  /** A transaction would keep questions waiting: it gets none. */
  function lendQuestions({request}: StatementWork): Obtained {
    const isBegin = request.body.kind === 'begin';
    const lent = isBegin ? undefined : questionConnection.lend();
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
    const reply = yield* exchangeStatement({
      timer,
      shared,
      work,
      timeout: remaining,
      isInTransaction: false,
      writes,
      onAnswers: noteAnswers,
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
        onAnswers: noteAnswers,
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

  function order(
    question: TargetOrder,
    timeout: Milliseconds,
    sendUntil?: Milliseconds,
  ): Future<OrderReply> {
    return isClosed
      ? settledFuture(Err('closed'))
      : questions.ask(question, timeout, sendUntil);
  }

  function askStatus(): Future<TargetStatus | undefined> {
    const askedAt = timer.now();
    const reply = order({kind: 'status'}, QUESTION_TIMEOUT);
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
    order,
    probe: () =>
      mapFuture(order({kind: 'reset'}, QUESTION_TIMEOUT), reply => reply.ok),
    askStatus,
    expectedTime: admission.expectedTime,
    roundTrip: () => shortestRoundTrip,
    isReached: () => silentSince === undefined,
    silentSince: () => silentSince,
    lastAskedAt: () => lastAskedAt,
    writesStalledSince: writes.stalledSince,
    trim: connections.trim,
    close() {
      isClosed = true;
      for (const entry of admission.takeAll()) {
        entry.refuse(GONE);
      }
      connections.closeAll();
      questionConnection.close();
    },
  };
}
