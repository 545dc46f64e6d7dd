/** A target of a group that replicates without the proxies, in virtual time. */
import {
  EMPTY_LOG_END,
  type LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';
import {
  type SessionStatement,
  type StatementAnswer,
  type StatementErrorName,
  type TargetRequest,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';

import {createPendingCommits} from './pending_commits';
import type {LogRecord} from './run_record';
import type {
  StandInTarget,
  StandInTargetFaults,
  StandInTargetOptions,
} from './stand_in_target_types';
import {createTargetLog} from './target_log';
import {
  type TargetSession,
  applySessionStatement,
  resetSession,
  createTargetSession,
  isRefusable,
  transactionStateOf,
} from './target_session';
import {createTargetSlots} from './target_slots';

/** Creates a replica in term 1 with an empty log. */
export function createStandInTarget(
  options: StandInTargetOptions,
): StandInTarget {
  const {timer, target, group, recorder} = options;
  const sessions = new Map<number, TargetSession>();
  const log = createTargetLog(timer, options.applyDelay);
  let role: 'primary' | 'replica' = 'replica';
  let term = 1;
  let termHeld = 0;
  let isPaused = false;
  let isReplicationBlocked = false;
  let running = true;
  let startedAt = 0;
  const faults: StandInTargetFaults = {
    refusal: undefined,
    refusesConnections: false,
    readOutcome: () => 'answered',
    slowness: 1,
  };
  let nextNumber = 1;
  const slots = createTargetSlots(options);
  const pendingCommits = createPendingCommits(
    options.commitsHoldSlots ? slots.hold : undefined,
  );

  function receive(
    senderTerm: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean {
    const mayReceive =
      running && !isPaused && !isReplicationBlocked && senderTerm === term;
    return mayReceive && log.receive(previous, records);
  }

  function append(writes: readonly string[], done: () => void): void {
    const previous = log.received();
    const position = {term, position: previous.position + 1};
    const newRecord = {position, writes: [...writes]};
    log.append(newRecord);
    pendingCommits.add(position, () => {
      options.onAcknowledged?.(newRecord);
      done();
    });
    options.onAppended(previous, newRecord);
  }

  function answerSuccess(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    receipt: string,
    rows: readonly string[] = [],
  ): void {
    const state = transactionStateOf(session);
    answer({...localAnswer(state), rows, receipt, position: log.applied()});
  }

  function answerFailure(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    name: StatementErrorName,
  ): void {
    session.hasFailed = session.transaction !== undefined && name !== 'busy';
    answer({
      ...errorAnswer(name, transactionStateOf(session)),
      position: log.applied(),
    });
  }

  function recordRun(
    kind: 'read' | 'write' | 'commit',
    session: TargetSession,
    id: string,
    shape: string | undefined,
  ): void {
    recorder.onRun({
      kind,
      id,
      target,
      group,
      user: session.user,
      shape,
      at: timer.now(),
      position: log.applied(),
      values: new Map(session.values),
      connection: session.number,
      transaction: session.transaction?.number,
    });
  }

  function hasLostPrimaryRole({transaction}: TargetSession): boolean {
    return (
      transaction !== undefined &&
      !transaction.isReadOnly &&
      (role !== 'primary' || transaction.term !== term)
    );
  }

  function isBehind(after: LogPosition | undefined): boolean {
    return after !== undefined && compareLogPositions(log.applied(), after) < 0;
  }

  function runRead(
    session: TargetSession,
    {id = '', after}: TargetRequest,
    shape: string | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (hasLostPrimaryRole(session)) {
      answerFailure(session, answer, 'readOnly');
      return;
    }
    if (isBehind(after)) {
      answerFailure(session, answer, 'lagging');
      return;
    }
    const outcome = faults.readOutcome();
    if (outcome !== 'answered') {
      if (outcome === 'failed') {
        answerFailure(session, answer, 'failed');
      }
      return;
    }
    slots.run(
      () => {
        recordRun('read', session, id, shape);
        const state = transactionStateOf(session);
        const rows = [`row of ${id}`];
        const position = log.applied();
        answer({...localAnswer(state), rows, receipt: `r-${id}`, position});
      },
      () => answerFailure(session, answer, 'busy'),
      faults.slowness * options.statementDuration,
    );
  }

  function runWrite(
    session: TargetSession,
    {id = ''}: TargetRequest,
    shape: string | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (role !== 'primary' || hasLostPrimaryRole(session)) {
      answerFailure(session, answer, 'readOnly');
      return;
    }
    slots.run(
      () => {
        if (role !== 'primary' || hasLostPrimaryRole(session)) {
          answerFailure(session, answer, 'readOnly');
          return;
        }
        recordRun('write', session, id, shape);
        const {transaction} = session;
        if (transaction === undefined) {
          append([id], () => answerSuccess(session, answer, `w-${id}`));
        } else {
          transaction.writes.push(id);
          answerSuccess(session, answer, `w-${id}`);
        }
      },
      () => answerFailure(session, answer, 'busy'),
    );
  }

  function runCommit(
    session: TargetSession,
    id: string,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {transaction} = session;
    if (transaction === undefined || session.hasFailed) {
      answerFailure(session, answer, 'malformed');
      return;
    }
    const {writes} = transaction;
    if (writes.length > 0 && hasLostPrimaryRole(session)) {
      answerFailure(session, answer, 'readOnly');
      return;
    }
    recordRun('commit', session, id, undefined);
    session.transaction = undefined;
    if (writes.length === 0) {
      answerSuccess(session, answer, `c-${id}`);
    } else {
      append(writes, () => answerSuccess(session, answer, `c-${id}`));
    }
  }

  function runBegin(
    session: TargetSession,
    isReadOnly: boolean,
    after: LogPosition | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (!isReadOnly && role !== 'primary') {
      answerFailure(session, answer, 'readOnly');
    } else if (isBehind(after)) {
      answerFailure(session, answer, 'lagging');
    } else {
      const number = nextNumber++;
      session.transaction = {number, isReadOnly, term, writes: []};
      answerSuccess(session, answer, '');
    }
  }

  function answerStatus(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const end = log.received();
    const row = `${role} ${term} ${end.term}.${end.position} ${termHeld} 0 ${slots.busy()} ${sessions.size}`;
    answerSuccess(session, answer, '', [row]);
  }

  function runStatement(
    session: TargetSession,
    statement: SessionStatement,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {refusal} = faults;
    if (refusal !== undefined && isRefusable(statement)) {
      answerFailure(session, answer, refusal);
      return;
    }
    switch (statement.kind) {
      case 'begin':
        runBegin(session, statement.readOnly, request.after, answer);
        return;
      case 'commit':
        runCommit(session, request.id ?? '', answer);
        return;
      case 'rollback':
        session.transaction = undefined;
        session.hasFailed = false;
        answerSuccess(session, answer, '');
        return;
      case 'read':
        runRead(session, request, undefined, answer);
        return;
      case 'write':
        runWrite(session, request, undefined, answer);
        return;
      case 'set':
      case 'prepare':
      case 'deallocate':
        applySessionStatement(session, statement);
        answerSuccess(session, answer, '');
        return;
      case 'execute': {
        const shape = session.prepared.get(statement.name);
        if (shape === undefined) {
          answerFailure(session, answer, 'notPrepared');
        } else if (shape.startsWith('read')) {
          runRead(session, request, shape, answer);
        } else {
          runWrite(session, request, shape, answer);
        }
      }
    }
  }

  /** Handles a request; a delayed command is executed but not answered. */
  function handle(
    number: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {kind} = request.body;
    const isCommand =
      kind === 'pause' || kind === 'resume' || kind === 'demote';
    const delay = isCommand ? options.commandDelay() : 0;
    if (delay > 0) {
      const session = sessions.get(number);
      timer.after(delay, () => executeRequest(session, request, () => {}));
    } else {
      executeRequest(sessions.get(number), request, answer);
    }
  }

  function executeRequest(
    session: TargetSession | undefined,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {body} = request;
    if (!running || session === undefined) {
      return;
    }
    switch (body.kind) {
      case 'reset':
        resetSession(session);
        answerSuccess(session, answer, '');
        return;
      case 'status':
        if (options.statusNeedsSlot && slots.busy() >= options.slots) {
          answerFailure(session, answer, 'busy');
          return;
        }
        answerStatus(session, answer);
        return;
      case 'pause':
        if (body.term > term && role === 'replica') {
          isPaused = true;
          termHeld = Math.max(termHeld, body.term);
        }
        answerStatus(session, answer);
        return;
      case 'resume':
        isPaused = false;
        answerStatus(session, answer);
        return;
      case 'demote':
        if (body.term > term && role === 'primary') {
          role = 'replica';
          termHeld = Math.max(termHeld, body.term);
          pendingCommits.clear();
        }
        answerStatus(session, answer);
        return;
      default:
        runStatement(session, body, request, answer);
    }
  }

  function stop(): void {
    running = false;
    slots.clear();
    pendingCommits.clear();
    sessions.clear();
  }

  return {
    target,
    role: () => role,
    term: () => term,
    log: log.records,
    received: log.received,
    applied: log.applied,
    isRunning: () => running,
    isPaused: () => isPaused,
    startedAt: () => startedAt,
    faults,
    stop,
    start(wiped) {
      [running, isPaused, role] = [true, false, 'replica'];
      startedAt = wiped ? timer.now() : startedAt;
      log.restart(wiped);
    },
    setReplicationBlocked: isBlocked => void (isReplicationBlocked = isBlocked),
    isReplicationBlocked: () => isReplicationBlocked,
    receive,
    follow(nextTerm, primaryLog) {
      role = 'replica';
      term = nextTerm;
      isPaused = false;
      pendingCommits.clear();
      log.rollBackTo(primaryLog);
      receive(nextTerm, EMPTY_LOG_END, primaryLog);
    },
    becomePrimary(nextTerm) {
      role = 'primary';
      term = nextTerm;
      isPaused = false;
      log.applyAll();
    },
    acknowledge: pendingCommits.acknowledge,
    open(user, done) {
      function add(): void {
        const number = nextNumber++;
        sessions.set(number, createTargetSession(number, user));
        done(number);
      }
      if (options.connectionSetupDuration === 0) {
        add();
      } else {
        slots.run(add, () => {}, options.connectionSetupDuration);
      }
    },
    connections: () => sessions.size,
    endSession: session => void sessions.delete(session),
    handle,
  };
}
