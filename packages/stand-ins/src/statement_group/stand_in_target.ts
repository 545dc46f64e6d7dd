/** A database of a group that replicates by itself, in virtual time. */
import {
  EMPTY_LOG_END,
  type LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {
  type SessionStatement,
  type StatementAnswer,
  type StatementErrorName,
  type TargetRequest,
  type TransactionState,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';

import type {LogRecord, RunRecorder} from './run_record';

/** How a target behaves. */
export interface StandInTargetOptions {
  readonly timer: TimerService;
  readonly target: string;
  readonly group: string;
  readonly slots: number;
  readonly workTime: Milliseconds;
  readonly recorder: RunRecorder;
  /** Time between a record's arrival and its application. */
  applyDelay(): Milliseconds;
  /** A primary's record is on its way to the replicas. */
  onAppended(previous: LogPosition, record: LogRecord): void;
}

/** A caller's connection as the target keeps it. */
interface TargetSession {
  readonly number: number;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
  transaction: OpenTransaction | undefined;
  hasFailed: boolean;
}

interface OpenTransaction {
  readonly number: number;
  readonly isReadOnly: boolean;
  readonly term: number;
  readonly writes: string[];
}

/** A target with what a test may do to it. */
export interface StandInTarget {
  readonly target: string;
  role(): 'primary' | 'replica';
  term(): number;
  log(): readonly LogRecord[];
  received(): LogPosition;
  applied(): LogPosition;
  isRunning(): boolean;
  /** Loses its connections; a wiped one starts empty. */
  stop(): void;
  start(wiped: boolean): void;
  /** Receives nothing while it is deaf. */
  setDeaf(deaf: boolean): void;
  /** Takes records that follow a position; false if it lacks that one. */
  receive(
    term: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean;
  follow(term: number, log: readonly LogRecord[]): void;
  lead(term: number): void;
  /** A replica has received up to here. */
  acknowledge(position: LogPosition): void;
  open(): number;
  endSession(session: number): void;
  handle(
    session: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void;
  queued(): number;
}

/** Statements that wait for a slot before the target refuses more. */
const QUEUE_CAPACITY = 24;

/** Creates a target that follows term 1 with an empty log. */
export function createStandInTarget(
  options: StandInTargetOptions,
): StandInTarget {
  const {timer, target, group, recorder} = options;
  const sessions = new Map<number, TargetSession>();
  let log: LogRecord[] = [];
  let appliedCount = 0;
  let role: 'primary' | 'replica' = 'replica';
  let term = 1;
  let termHeld = 0;
  let isPaused = false;
  let isDeaf = false;
  let running = true;
  let life = 0;
  let nextNumber = 1;
  let busy = 0;
  let waitingWork: Array<() => void> = [];
  let waitingCommits: Array<{
    readonly position: LogPosition;
    readonly done: () => void;
  }> = [];

  function received(): LogPosition {
    return log[log.length - 1]?.position ?? EMPTY_LOG_END;
  }

  function applied(): LogPosition {
    return log[appliedCount - 1]?.position ?? EMPTY_LOG_END;
  }

  /** Runs work in a slot, unless the target dies meanwhile. */
  function inSlot(work: () => void, refuse: () => void): void {
    const startedIn = life;
    function run(): void {
      busy += 1;
      timer.after(options.workTime, () => {
        if (life !== startedIn) {
          return;
        }
        busy -= 1;
        work();
        waitingWork.shift()?.();
      });
    }
    if (busy < options.slots) {
      run();
    } else if (waitingWork.length < QUEUE_CAPACITY) {
      waitingWork.push(run);
    } else {
      refuse();
    }
  }

  function applyLater(): void {
    const startedIn = life;
    const count = log.length;
    timer.after(options.applyDelay(), () => {
      if (life === startedIn) {
        appliedCount = Math.max(appliedCount, Math.min(count, log.length));
      }
    });
  }

  function receive(
    senderTerm: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean {
    if (!running || isPaused || isDeaf || senderTerm !== term) {
      return false;
    }
    if (compareLogPositions(previous, received()) > 0) {
      return false;
    }
    const fresh = records.filter(
      record => compareLogPositions(record.position, received()) > 0,
    );
    log.push(...fresh);
    applyLater();
    return true;
  }

  function append(writes: readonly string[], done: () => void): void {
    const previous = received();
    const position = {term, position: previous.position + 1};
    const record = {position, writes: [...writes]};
    log.push(record);
    appliedCount = log.length;
    waitingCommits.push({position, done});
    options.onAppended(previous, record);
  }

  function stateOf(session: TargetSession): TransactionState {
    if (session.hasFailed) {
      return 'failed';
    }
    return session.transaction === undefined ? 'idle' : 'open';
  }

  function finish(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    receipt: string,
  ): void {
    const state = stateOf(session);
    answer({...localAnswer(state), receipt, position: applied()});
  }

  function fail(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
    name: StatementErrorName,
  ): void {
    session.hasFailed = session.transaction !== undefined && name !== 'busy';
    answer({...errorAnswer(name, stateOf(session)), position: applied()});
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
      shape,
      at: timer.now(),
      position: applied(),
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
    return after !== undefined && compareLogPositions(applied(), after) < 0;
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
    inSlot(
      () => {
        record('read', session, id, shape);
        const state = stateOf(session);
        const rows = [`row of ${id}`];
        const position = applied();
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
    inSlot(
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
      session.transaction = {
        number: nextNumber++,
        isReadOnly,
        term,
        writes: [],
      };
      finish(session, answer, '');
    }
  }

  function answerStatus(
    session: TargetSession,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const {term: receivedTerm, position} = received();
    const row = `${role} ${term} ${receivedTerm}.${position} ${termHeld} 0 ${busy} ${sessions.size}`;
    const state = stateOf(session);
    answer({...localAnswer(state), rows: [row], position: applied()});
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
        session.values.set(statement.name, statement.value);
        finish(session, answer, '');
        return;
      case 'prepare':
        session.prepared.set(
          statement.name,
          `${statement.access} ${statement.shape}`,
        );
        finish(session, answer, '');
        return;
      case 'deallocate':
        session.prepared.delete(statement.name);
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

  function handle(
    number: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void {
    const session = sessions.get(number);
    if (!running || session === undefined) {
      return;
    }
    const {body} = request;
    switch (body.kind) {
      case 'reset':
        session.values.clear();
        session.prepared.clear();
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
          waitingCommits = [];
        }
        answerStatus(session, answer);
        return;
      default:
        runStatement(session, body, request, answer);
    }
  }

  function stop(): void {
    running = false;
    life += 1;
    busy = 0;
    waitingWork = [];
    waitingCommits = [];
    sessions.clear();
  }

  return {
    target,
    role: () => role,
    term: () => term,
    log: () => log,
    received,
    applied,
    isRunning: () => running,
    stop,
    start(wiped) {
      running = true;
      isPaused = false;
      role = 'replica';
      if (wiped) {
        log = [];
        appliedCount = 0;
      }
      appliedCount = Math.min(appliedCount, log.length);
    },
    setDeaf(deaf) {
      isDeaf = deaf;
    },
    receive,
    follow(nextTerm, leaderLog) {
      role = 'replica';
      term = nextTerm;
      isPaused = false;
      waitingCommits = [];
      const ends = new Set(
        leaderLog.map(({position: {term: t, position}}) => `${t}.${position}`),
      );
      log = log.filter(({position: {term: t, position}}) =>
        ends.has(`${t}.${position}`),
      );
      appliedCount = Math.min(appliedCount, log.length);
      receive(nextTerm, EMPTY_LOG_END, leaderLog);
    },
    lead(nextTerm) {
      role = 'primary';
      term = nextTerm;
      isPaused = false;
      appliedCount = log.length;
    },
    acknowledge(position) {
      const done = waitingCommits.filter(
        commit => compareLogPositions(commit.position, position) <= 0,
      );
      waitingCommits = waitingCommits.filter(commit => !done.includes(commit));
      done.forEach(commit => commit.done());
    },
    open() {
      const number = nextNumber++;
      sessions.set(number, {
        number,
        values: new Map(),
        prepared: new Map(),
        transaction: undefined,
        hasFailed: false,
      });
      return number;
    },
    endSession(session) {
      sessions.delete(session);
    },
    handle,
    queued: () => waitingWork.length,
  };
}
