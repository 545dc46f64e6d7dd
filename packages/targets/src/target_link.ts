/**
 * One target as this proxy uses it: admission of statements, the connections
 * that sessions share, and one connection of its own for questions, which also
 * tells whether the target is reached.
 */
import type {AdmissionPolicies} from '@kelpstep/pool';
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  mapFuture,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  ConnectionUser,
  OpenTargetConnection,
  OpenedConnection,
  ReadTargetStatus,
  StatementAnswer,
  TargetOrder,
  TargetStatus,
} from '@kelpstep/statements';
import {Err} from 'ts-results';

import {createQuestionConnection} from './question_connection';
import type {TargetRegistration} from './registration';
import {createSharedConnections} from './shared_connections';
import {createStatementRunner} from './statement_runner';
import type {
  PinnedStart,
  StatementOutcome,
  StatementWork,
} from './statement_work';
import {type OrderReply, createTargetQuestions} from './target_questions';
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
  /** True while this proxy has no connection for the user and gets none. */
  isShutOut(user: ConnectionUser): boolean;
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
/** Creates the link to a target; nothing is opened before it is needed. */
export function createTargetLink(options: TargetLinkOptions): TargetLink {
  const {runtime, onPosition} = options;
  const {timer} = runtime;
  let registration = options.registration;
  const {target} = registration;
  const place = options.registration;
  let shortestRoundTrip: Milliseconds | undefined;
  let silentSince: Milliseconds | undefined;
  let lastAskedAt = -Infinity;
  let isClosed = false;

  const connections = createSharedConnections({
    timer,
    target: place,
    open: options.open,
    share,
    onRoom: () => runner.pump(),
    onOpened: noteOpened,
  });
  const writes = createWriteProgress(timer);
  const questionConnection = createQuestionConnection({
    timer,
    target: place,
    open: options.open,
    onOpened: noteOpened,
  });
  const questions = createTargetQuestions({
    runtime,
    connection: questionConnection,
    onAnswers: noteAnswers,
    onRoundTrip(duration) {
      shortestRoundTrip = Math.min(shortestRoundTrip ?? Infinity, duration);
    },
    onSilence: unheard,
  });
  const runner = createStatementRunner({
    runtime,
    target,
    slots: registration.slots,
    policies: options.policies,
    connections,
    questionConnection,
    writes,
    share,
    onAnswers: noteAnswers,
    onSilence: unheard,
  });

  /** One of the connections is for questions. */
  function share(): number {
    return Math.max(1, options.share() - 1);
  }

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

  function noteOpened(
    askedAt: Milliseconds,
    {position, firstAnswers}: OpenedConnection,
  ): void {
    heard(askedAt);
    if (position !== undefined) {
      onPosition(askedAt, position);
    }
    firstAnswers.forEach(answer => noteStatus(askedAt, answer));
  }

  function noteStatus(
    askedAt: Milliseconds,
    answer: StatementAnswer,
  ): TargetStatus | undefined {
    const status = options.readStatus(answer);
    if (status !== undefined) {
      options.onStatus(askedAt, status);
    }
    return status;
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
      return result.ok ? noteStatus(askedAt, result.val) : undefined;
    });
  }

  return {
    target,
    registration: () => registration,
    update(next) {
      registration = next;
    },
    run: runner.run,
    pin: runner.pin,
    order,
    probe: () =>
      mapFuture(order({kind: 'reset'}, QUESTION_TIMEOUT), reply => reply.ok),
    askStatus,
    expectedTime: runner.expectedTime,
    roundTrip: () => shortestRoundTrip,
    isReached: () => silentSince === undefined,
    silentSince: () => silentSince,
    lastAskedAt: () => lastAskedAt,
    // The connection for questions is lent to the proxy itself alone.
    isShutOut: user => user !== undefined && connections.isShutOut(),
    writesStalledSince: writes.stalledSince,
    trim: connections.trim,
    close() {
      isClosed = true;
      runner.close();
      connections.closeAll();
      questionConnection.close();
    },
  };
}
