/**
 * Sessions that read and write through any proxy, as callers do: they carry
 * their token along, repeat a request with the same key when its outcome is
 * unknown, and come back when they are told to.
 */
import {
  ErrorName,
  IdempotencyKey,
  Statement,
  rowsSchema,
} from '@kelpstep/protocol';
import {
  Milliseconds,
  Random,
  Task,
  TimerService,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {z} from 'zod';

import {CallerReply, ReachableProxy, callProxy} from './caller_link';
import {History, Operation, recordText, sessionList} from './history';

/** What a session is made of. */
export interface SessionOptions {
  readonly name: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly history: History;
  readonly group: string;
  readonly latency: Milliseconds;
  readonly period: Milliseconds;
  /** Share of reads among operations, percent. */
  readonly reads: number;
  /** Age that half of the reads state. */
  readonly age: Milliseconds;
  readonly deadline: Milliseconds;
  /** Monotonic time of the last operation. */
  readonly end: Milliseconds;
  /** Names of all sessions: reads with a stated age look at any list. */
  readonly sessions: readonly string[];
  /** The proxies that the balancer offers; not empty. */
  proxies(): readonly ReachableProxy[];
}

const answerSchema = z.object({
  token: z.string().optional(),
  transaction: z.string().optional(),
  rows: rowsSchema.optional(),
  servedBy: z.object({role: z.enum(['primary', 'replica'])}).optional(),
  outcome: z.enum(['confirmed', 'not_run']).optional(),
});
type Answer = z.infer<typeof answerSchema>;

/** Attempts of one operation, the first one included. */
const MAXIMUM_ATTEMPTS = 4;
/** Share of transactions among writes, percent. */
const TRANSACTION_SHARE = 15;
const COUNTER_SHARE = 15;
const DEFAULT_RETURN: Milliseconds = 50;

interface Attempt {
  readonly answer: Answer | undefined;
  readonly error: ErrorName | undefined;
  readonly told: 'confirmed' | 'not_run' | 'unknown';
  readonly retryAfter: Milliseconds | undefined;
}

function interpret(reply: CallerReply): Attempt {
  const nothing = {answer: undefined, error: undefined, retryAfter: undefined};
  if (reply === 'lost') {
    return {...nothing, told: 'unknown'};
  }
  if (reply.ok) {
    const answer = answerSchema.parse(reply.val);
    return {...nothing, answer, told: 'confirmed'};
  }
  const {name, outcome, retryAfter} = reply.val;
  return {answer: undefined, error: name, told: outcome, retryAfter};
}

/** Errors after which the same request with the same key has no chance. */
const FINAL_ERRORS: ReadonlySet<ErrorName | undefined> = new Set<ErrorName>([
  'KEY_CANCELLED',
  'KEY_EXPIRED',
  'TRANSACTION_LOST',
  'TRANSACTION_UNKNOWN',
  'INVALID_PARAMETERS',
]);

/** Runs a session until its end. */
export function* runSession(options: SessionOptions): Task<void> {
  const {name, timer, random, history, group, latency} = options;
  let token = '';
  let sequence = 0;

  function* request(
    method: string,
    parameters: object,
    deadline: Milliseconds,
  ): Task<Attempt> {
    const proxy = random.pick(options.proxies());
    const full = {...parameters, group, token, deadline};
    const reply = yield* waitFor(
      callProxy(timer, latency, proxy, method, full),
    );
    const attempt = interpret(reply);
    token = attempt.answer?.token ?? token;
    return attempt;
  }

  function wallDeadline(operation: Operation): Milliseconds {
    const remaining = operation.deadline - timer.now();
    return timer.wallClock() + Math.ceil(remaining);
  }

  function nameWrite(operation: Operation): IdempotencyKey {
    const id = `${name}-${operation.id}-${random.hexadecimal(8)}`;
    const key = {id, issuedAt: timer.wallClock()};
    operation.key = key;
    return key;
  }

  function begin(
    kind: Operation['kind'],
    statements: readonly Statement[],
    maximumAge?: Milliseconds,
  ): Operation {
    return history.invoke({
      session: name,
      kind,
      group,
      statements,
      invokedAt: timer.now(),
      deadline: timer.now() + options.deadline,
      ...(maximumAge === undefined ? {} : {maximumAge}),
    });
  }

  function complete(
    operation: Operation,
    told: Attempt['told'],
    last: Attempt,
  ): void {
    operation.completedAt = timer.now();
    operation.outcome = told;
    if (told === 'confirmed') {
      operation.confirmedAt = timer.now();
    }
    if (told === 'unknown') {
      operation.wasUnknown = true;
    }
    if (last.error !== undefined) {
      operation.error = last.error;
    }
    if (last.answer?.rows !== undefined) {
      operation.rows = last.answer.rows;
    }
    if (last.answer?.servedBy !== undefined) {
      operation.servedByRole = last.answer.servedBy.role;
    }
  }

  /** Sends a request until it is decided or its attempts are used up. */
  function* persist(
    operation: Operation,
    method: string,
    parameters: object,
  ): Task<void> {
    const deadline = wallDeadline(operation);
    let mayHaveRun = false;
    for (let count = 1; ; count++) {
      const attempt = yield* request(method, parameters, deadline);
      operation.firstAnswerAt ??= timer.now();
      mayHaveRun ||= attempt.told === 'unknown';
      const back = attempt.retryAfter ?? DEFAULT_RETURN;
      const isLate = timer.now() + back >= operation.deadline;
      const isDecided =
        attempt.told === 'confirmed' || FINAL_ERRORS.has(attempt.error);
      if (isDecided || isLate || count === MAXIMUM_ATTEMPTS) {
        const told =
          attempt.told === 'not_run' && mayHaveRun && !isDecided
            ? 'unknown'
            : attempt.told;
        complete(operation, told, attempt);
        return;
      }
      yield* sleep(back);
    }
  }

  function appendStatement(): Statement {
    const record = recordText(name, sequence++);
    return {text: 'append ? ?', parameters: [sessionList(name), record]};
  }

  function* append(): Task<void> {
    const statement = appendStatement();
    const operation = begin('append', [statement]);
    const key = nameWrite(operation);
    yield* persist(operation, 'write', {kind: 'record', statement, key});
  }

  function* addToCounter(): Task<void> {
    const statement: Statement = {
      text: 'add ? ?',
      parameters: [`counter-of-${name}`, 1],
    };
    const operation = begin('counter-add', [statement]);
    const key = nameWrite(operation);
    yield* persist(operation, 'write', {statement, key});
  }

  function* list(): Task<void> {
    const hasAge = random.integer(0, 1) === 0;
    const of = hasAge ? random.pick(options.sessions) : name;
    const statement: Statement = {
      text: 'list ?',
      parameters: [sessionList(of)],
    };
    const maximumAge = hasAge ? options.age : undefined;
    const operation = begin('list', [statement], maximumAge);
    yield* persist(operation, 'read', {
      kind: 'view',
      statement,
      ...(hasAge ? {maximumAge} : {}),
    });
  }

  /** Two records together; another proxy may serve each step. */
  function* transaction(): Task<void> {
    const statements = [appendStatement(), appendStatement()];
    const operation = begin('transaction', statements);
    const deadline = wallDeadline(operation);
    const begun = yield* request('begin', {}, deadline);
    operation.firstAnswerAt = timer.now();
    const id = begun.answer?.transaction;
    if (id === undefined) {
      complete(operation, 'not_run', begun);
      return;
    }
    for (const statement of statements) {
      const parameters = {transaction: id, statement};
      const written = yield* request('write', parameters, deadline);
      if (written.told !== 'confirmed') {
        complete(operation, 'not_run', written);
        yield* request('rollback', {transaction: id}, deadline);
        return;
      }
    }
    const key = nameWrite(operation);
    yield* persist(operation, 'commit', {transaction: id, key});
  }

  function* write(): Task<void> {
    const choice = random.integer(0, 99);
    if (choice < TRANSACTION_SHARE) {
      yield* transaction();
    } else if (choice < TRANSACTION_SHARE + COUNTER_SHARE) {
      yield* addToCounter();
    } else {
      yield* append();
    }
  }

  yield* sleep(random.fraction() * options.period);
  while (timer.now() < options.end) {
    const startedAt = timer.now();
    if (random.integer(0, 99) < options.reads) {
      yield* list();
    } else {
      yield* write();
    }
    const next = startedAt + random.jitter(options.period, 0.5);
    yield* sleep(Math.max(0, next - timer.now()));
  }
}
