/** A database of a group that replicates by itself, in virtual time. */
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

import {createCommitWaits} from './commit_waits';
import type {LogRecord} from './run_record';
import type {
  StandInTarget,
  StandInTargetOptions,
} from './stand_in_target_types';
import {createTargetLog} from './target_log';
import {
  type TargetSession,
  changeSession,
  clearSession,
  createTargetSession,
  stateOf,
} from './target_session';
import {createTargetSlots} from './target_slots';

/** Creates a target that follows term 1 with an empty log. */
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
  let isDeaf = false;
  let running = true;
  let nextNumber = 1;
  const slots = createTargetSlots(timer, options.slots, options.workTime);
  const waitingCommits = createCommitWaits();

  function receive(
    senderTerm: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean {
    const mayReceive = running && !isPaused && !isDeaf && senderTerm === term;
    return mayReceive && log.receive(previous, records);
  }

  function append(writes: readonly string[], done: () => void): void {
    const previous = log.received();
    const position = {term, position: previous.position + 1};
    const record = {position, writes: [...writes]};
    log.append(record);
    waitingCommits.add(position, done);
    options.onAppended(previous, record);
  }

  function finish(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    receipt: string,
    rows: readonly string[] = [],
  ): void {
    const state = stateOf(session);
    answer({...localAnswer(state), rows, receipt, position: log.applied()});
  }

  function fail(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    name: StatementErrorName,
  ): void {
    session.hasFailed = session.transaction !== undefined && name !== 'busy';
    answer({...errorAnswer(name, stateOf(session)), position: log.applied()});
  }

  function record(
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

  function hasLostLead({transaction}: TargetSession): boolean {
    return (
      transaction !== undefined &&
      !transaction.isReadOnly &&
      (role !== 'primary' || transaction.term !== term)
    );
  }

  function lacks(after: LogPosition | undefined): boolean {
    return after !== undefined && compareLogPositions(log.applied(), after) < 0;
  }

  function runRead(
    session: TargetSession,
    {id = '', after}: TargetRequest,
    shape: string | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (hasLostLead(session)) {
      fail(session, answer, 'readOnly');
      return;
    }
    if (lacks(after)) {
      fail(session, answer, 'lagging');
      return;
    }
    slots.run(
      () => {
        record('read', session, id, shape);
        const state = stateOf(session);
        const rows = [`row of ${id}`];
        const position = log.applied();
        answer({...localAnswer(state), rows, receipt: `r-${id}`, position});
      },
      () => fail(session, answer, 'busy'),
    );
  }

  function runWrite(
    session: TargetSession,
    {id = ''}: TargetRequest,
    shape: string | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (role !== 'primary' || hasLostLead(session)) {
      fail(session, answer, 'readOnly');
      return;
    }
    slots.run(
      () => {
        if (role !== 'primary' || hasLostLead(session)) {
          fail(session, answer, 'readOnly');
          return;
        }
        record('write', session, id, shape);
        const {transaction} = session;
        if (transaction === undefined) {
          append([id], () => finish(session, answer, `w-${id}`));
        } else {
          transaction.writes.push(id);
          finish(session, answer, `w-${id}`);
        }
      },
      () => fail(session, answer, 'busy'),
    );
  }

  function runCommit(
    session: TargetSession,
    id: string,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {transaction} = session;
    if (transaction === undefined || session.hasFailed) {
      fail(session, answer, 'malformed');
      return;
    }
    const {writes} = transaction;
    if (writes.length > 0 && hasLostLead(session)) {
      fail(session, answer, 'readOnly');
      return;
    }
    record('commit', session, id, undefined);
    session.transaction = undefined;
    if (writes.length === 0) {
      finish(session, answer, `c-${id}`);
    } else {
      append(writes, () => finish(session, answer, `c-${id}`));
    }
  }

  function runBegin(
    session: TargetSession,
    isReadOnly: boolean,
    after: LogPosition | undefined,
    answer: (answer: StatementAnswer) => void,
  ): void {
    if (!isReadOnly && role !== 'primary') {
      fail(session, answer, 'readOnly');
    } else if (lacks(after)) {
      fail(session, answer, 'lagging');
    } else {
      const number = nextNumber++;
      session.transaction = {number, isReadOnly, term, writes: []};
      finish(session, answer, '');
    }
  }

  function answerStatus(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {term: receivedTerm, position} = log.received();
    const row = `${role} ${term} ${receivedTerm}.${position} ${termHeld} 0 ${slots.busy()} ${sessions.size}`;
    finish(session, answer, '', [row]);
  }

  function runStatement(
    session: TargetSession,
    statement: SessionStatement,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
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
        finish(session, answer, '');
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
        changeSession(session, statement);
        finish(session, answer, '');
        return;
      case 'execute': {
        const shape = session.prepared.get(statement.name);
        if (shape === undefined) {
          fail(session, answer, 'notPrepared');
        } else if (shape.startsWith('read')) {
          runRead(session, request, shape, answer);
        } else {
          runWrite(session, request, shape, answer);
        }
      }
    }
  }

  /** An order that comes late is carried out, and not answered. */
  function handle(
    number: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {kind} = request.body;
    const isOrder = kind === 'pause' || kind === 'resume' || kind === 'demote';
    const delay = isOrder ? options.orderDelay() : 0;
    if (delay > 0) {
      const session = sessions.get(number);
      timer.after(delay, () => carryOut(session, request, () => {}));
    } else {
      carryOut(sessions.get(number), request, answer);
    }
  }

  function carryOut(
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
        clearSession(session);
        finish(session, answer, '');
        return;
      case 'status':
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
          waitingCommits.clear();
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
    waitingCommits.clear();
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
    stop,
    start(wiped) {
      [running, isPaused, role] = [true, false, 'replica'];
      log.restart(wiped);
    },
    setDeaf: deaf => void (isDeaf = deaf),
    receive,
    follow(nextTerm, leaderLog) {
      role = 'replica';
      term = nextTerm;
      isPaused = false;
      waitingCommits.clear();
      log.rollBackTo(leaderLog);
      receive(nextTerm, EMPTY_LOG_END, leaderLog);
    },
    lead(nextTerm) {
      role = 'primary';
      term = nextTerm;
      isPaused = false;
      log.applyAll();
    },
    acknowledge: waitingCommits.acknowledge,
    open(user, done) {
      function add(): void {
        const number = nextNumber++;
        sessions.set(number, createTargetSession(number, user));
        done(number);
      }
      if (options.openingTime === 0) {
        add();
      } else {
        slots.run(add, () => {}, options.openingTime);
      }
    },
    connections: () => sessions.size,
    endSession: session => void sessions.delete(session),
    handle,
  };
}
