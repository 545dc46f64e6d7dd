/**
 * Sessions that read and write through any proxy, as callers do. They send
 * their session token, retry with the same idempotency key when an outcome is
 * unknown, and wait for `retryAfter` between attempts.
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

/** Options of `runSession`. */
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
  /** Staleness bound that half of the reads state. */
  readonly age: Milliseconds;
  readonly deadline: Milliseconds;
  /** Monotonic time after which no operation starts. */
  readonly end: Milliseconds;
  /** Sessions whose lists may be read with a staleness bound. */
  readonly sessions: readonly string[];
  /** Proxies that the load balancer offers; not empty. */
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

/** Maximum number of attempts per operation, including the first. */
const MAXIMUM_ATTEMPTS = 4;
/** Shares of transactions and counter additions among writes. */
const TRANSACTION_PERCENT = 15;
const COUNTER_PERCENT = 15;
const DEFAULT_BACKOFF_MS: Milliseconds = 50;

interface Attempt {
  readonly answer: Answer | undefined;
  readonly error: ErrorName | undefined;
  readonly outcome: 'confirmed' | 'not_run' | 'unknown';
  readonly retryAfter: Milliseconds | undefined;
}

function interpret(reply: CallerReply): Attempt {
  const empty = {answer: undefined, error: undefined, retryAfter: undefined};
  if (reply === 'lost') {
    return {...empty, outcome: 'unknown'};
  }
  if (reply.ok) {
    const answer = answerSchema.parse(reply.val);
    return {...empty, answer, outcome: 'confirmed'};
  }
  const {name, outcome, retryAfter} = reply.val;
  return {answer: undefined, error: name, outcome, retryAfter};
}

/** Errors after which a retry with the same key cannot succeed. */
const FINAL_ERRORS: ReadonlySet<ErrorName | undefined> = new Set<ErrorName>([
  'KEY_CANCELLED',
  'KEY_EXPIRED',
  'TRANSACTION_LOST',
  'TRANSACTION_UNKNOWN',
  'INVALID_PARAMETERS',
]);

/** Runs operations of a session until `end`. */
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
    const fullParameters = {...parameters, group, token, deadline};
    const reply = yield* waitFor(
      callProxy(timer, latency, proxy, method, fullParameters),
    );
    const attempt = interpret(reply);
    token = attempt.answer?.token ?? token;
    return attempt;
  }

  function wallClockDeadline(operation: Operation): Milliseconds {
    const remaining = operation.deadline - timer.now();
    return timer.wallClock() + Math.ceil(remaining);
  }

  function assignKey(operation: Operation): IdempotencyKey {
    const id = `${name}-${operation.id}-${random.hexadecimal(8)}`;
    const key = {id, issuedAt: timer.wallClock()};
    operation.key = key;
    return key;
  }

  function invoke(
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
    outcome: Attempt['outcome'],
    last: Attempt,
  ): void {
    operation.completedAt = timer.now();
    operation.outcome = outcome;
    if (outcome === 'confirmed') {
      operation.confirmedAt = timer.now();
    }
    if (outcome === 'unknown') {
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

  /** Retries until the outcome is final, or attempts or time run out. */
  function* sendWithRetries(
    operation: Operation,
    method: string,
    parameters: object,
  ): Task<void> {
    const deadline = wallClockDeadline(operation);
    let mayHaveRun = false;
    for (let count = 1; ; count++) {
      const attempt = yield* request(method, parameters, deadline);
      operation.firstAnswerAt ??= timer.now();
      mayHaveRun ||= attempt.outcome === 'unknown';
      const backoff = attempt.retryAfter ?? DEFAULT_BACKOFF_MS;
      const isLate = timer.now() + backoff >= operation.deadline;
      const isDecided =
        attempt.outcome === 'confirmed' || FINAL_ERRORS.has(attempt.error);
      if (isDecided || isLate || count === MAXIMUM_ATTEMPTS) {
        const outcome =
          attempt.outcome === 'not_run' && mayHaveRun && !isDecided
            ? 'unknown'
            : attempt.outcome;
        complete(operation, outcome, attempt);
        return;
      }
      yield* sleep(backoff);
    }
  }

  function appendStatement(): Statement {
    const record = recordText(name, sequence++);
    return {text: 'append ? ?', parameters: [sessionList(name), record]};
  }

  function* append(): Task<void> {
    const statement = appendStatement();
    const operation = invoke('append', [statement]);
    const key = assignKey(operation);
    yield* sendWithRetries(operation, 'write', {
      kind: 'record',
      statement,
      key,
    });
  }

  function* addToCounter(): Task<void> {
    const statement: Statement = {
      text: 'add ? ?',
      parameters: [`counter-of-${name}`, 1],
    };
    const operation = invoke('counter-add', [statement]);
    const key = assignKey(operation);
    yield* sendWithRetries(operation, 'write', {statement, key});
  }

  function* list(): Task<void> {
    const hasAge = random.integer(0, 1) === 0;
    const listOwner = hasAge ? random.pick(options.sessions) : name;
    const statement: Statement = {
      text: 'list ?',
      parameters: [sessionList(listOwner)],
    };
    const maximumAge = hasAge ? options.age : undefined;
    const operation = invoke('list', [statement], maximumAge);
    yield* sendWithRetries(operation, 'read', {
      kind: 'view',
      statement,
      ...(hasAge ? {maximumAge} : {}),
    });
  }

  /** Appends two records in a transaction through random proxies. */
  function* transaction(): Task<void> {
    const statements = [appendStatement(), appendStatement()];
    const operation = invoke('transaction', statements);
    const deadline = wallClockDeadline(operation);
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
      if (written.outcome !== 'confirmed') {
        complete(operation, 'not_run', written);
        yield* request('rollback', {transaction: id}, deadline);
        return;
      }
    }
    const key = assignKey(operation);
    yield* sendWithRetries(operation, 'commit', {transaction: id, key});
  }

  function* write(): Task<void> {
    const choice = random.integer(0, 99);
    if (choice < TRANSACTION_PERCENT) {
      yield* transaction();
    } else if (choice < TRANSACTION_PERCENT + COUNTER_PERCENT) {
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
