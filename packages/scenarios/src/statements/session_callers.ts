/** Callers that run statements and transactions in sessions. */
import type {ClientAccount} from '@kelpstep/accounts';
import type {
  CallerConnection,
  CallerMessage,
  CallerRoute,
} from '@kelpstep/gateway';
import {
  type Milliseconds,
  type Random,
  type Runtime,
  type Task,
  createDeferred,
  createMailbox,
  sleep,
  waitWithTimeout,
} from '@kelpstep/runtime';
import type {SessionStatement, StatementAnswer} from '@kelpstep/statements';

import {type OperationCounts, createOperationLog} from './operation_counts';
import {
  type RuleChecker,
  type SentRequest,
  isReportedNotRun,
} from './rule_checker';

/** Options of `startSessionCallers`. */
export interface SessionCallersOptions {
  readonly runtime: Runtime;
  readonly random: Random;
  readonly checker: RuleChecker;
  readonly routes: readonly CallerRoute[];
  /** Accounts whose keys the callers use in turn; no keys by default. */
  readonly accounts?: readonly ClientAccount[];
  readonly sessions: number;
  /** Operations stop after this time. */
  readonly until: Milliseconds;
  /** Connects to a running proxy; false if no proxy runs. */
  connect(caller: CallerConnection): boolean;
}

/** Time after which a caller closes its session without an answer. */
const ANSWER_TIMEOUT_MS: Milliseconds = 2500;
const LONGEST_PAUSE_MS: Milliseconds = 120;
const SHAPES = ['q1', 'q2'] as const;

interface Session {
  readonly number: number;
  readonly route: CallerRoute;
  readonly account: string | undefined;
  readonly connection: CallerConnection;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
  answer: (answer: StatementAnswer) => void;
  isClosed: boolean;
}

type Outcome = StatementAnswer | undefined;

/** Starts callers and returns the counts of their operations. */
export function startSessionCallers(
  options: SessionCallersOptions,
): OperationCounts {
  const {runtime, random, checker, routes, accounts = []} = options;
  const {timer} = runtime;
  const {counts, record} = createOperationLog();
  let nextNumber = 1;

  function createSession(
    route: CallerRoute,
    account: ClientAccount | undefined,
  ): Session | undefined {
    const messages = createMailbox<CallerMessage>();
    const session: Session = {
      number: nextNumber++,
      route,
      account: account?.name,
      values: new Map(),
      prepared: new Map(),
      answer: () => {},
      isClosed: false,
      connection: {
        database: route.database,
        keyDigest: account?.keyDigests[0] ?? '',
        messages,
        isClosed: () => session.isClosed,
        answer: answer => session.answer(answer),
        close() {
          session.isClosed = true;
          messages.post({kind: 'closed'});
        },
      },
    };
    return options.connect(session.connection) ? session : undefined;
  }

  function* sendStatement(
    session: Session,
    id: string,
    statement: SessionStatement,
  ): Task<Outcome> {
    const result = createDeferred<StatementAnswer>();
    session.answer = answer => void result.settle(answer);
    const request = {id, statement};
    session.connection.messages.post({kind: 'request', request});
    const answer = yield* waitWithTimeout(result.future, ANSWER_TIMEOUT_MS);
    if (answer === undefined) {
      session.connection.close();
    }
    return answer;
  }

  function createSentRequest(
    session: Session,
    kind: SentRequest['kind'],
    fields: Partial<SentRequest>,
  ): SentRequest {
    const {number, route} = session;
    return {
      id: `q${nextNumber++}`,
      account: session.account,
      session: number,
      kind,
      freshness: route.freshness,
      maximumStaleness: route.maximumStaleness,
      since: timer.now(),
      values: new Map(session.values),
      shape: undefined,
      transaction: undefined,
      writes: [],
      ...fields,
    };
  }

  function* sendChecked(
    session: Session,
    request: SentRequest,
    statement: SessionStatement,
  ): Task<Outcome> {
    checker.onSent(request);
    const answer = yield* sendStatement(session, request.id, statement);
    if (answer !== undefined) {
      checker.onAnswer(request, answer);
    }
    return answer;
  }

  /** Sets a value or prepares a statement with a certain probability. */
  function* changeSettings(session: Session): Task<void> {
    if (random.fraction() < 0.3) {
      const name = random.pick(['a', 'b']);
      const value = random.hexadecimal(2);
      session.values.set(name, value);
      yield* sendStatement(session, 's', {kind: 'set', name, value});
    }
    if (random.fraction() < 0.3) {
      const name = random.pick(['p', 'q']);
      const access = random.pick(['read', 'write'] as const);
      const shape = random.pick(SHAPES);
      session.prepared.set(name, `${access} ${shape}`);
      yield* sendStatement(session, 's', {
        kind: 'prepare',
        name,
        access,
        shape,
      });
    }
  }

  function chooseStatement(
    session: Session,
    access: 'read' | 'write',
  ): {statement: SessionStatement; shape: string | undefined} {
    const matching = [...session.prepared].filter(([, text]) =>
      text.startsWith(access),
    );
    if (matching.length > 0 && random.fraction() < 0.5) {
      const [name, shape] = random.pick(matching);
      return {statement: {kind: 'execute', name, parameters: 'i'}, shape};
    }
    const statement: SessionStatement =
      access === 'read'
        ? {kind: 'read', item: 'i'}
        : {kind: 'write', item: 'i', data: 'd'};
    return {statement, shape: undefined};
  }

  function* runSingle(session: Session): Task<Outcome> {
    const mayWrite = session.route.freshness !== 'bounded';
    const access = mayWrite && random.fraction() < 0.3 ? 'write' : 'read';
    const {statement, shape} = chooseStatement(session, access);
    const request = createSentRequest(session, access, {shape});
    const writes = access === 'write' ? [request.id] : [];
    const answer = yield* sendChecked(session, {...request, writes}, statement);
    if (answer !== undefined && isReportedNotRun(answer)) {
      checker.onReportedNotRun(writes);
    }
    return answer;
  }

  function* runTransaction(session: Session): Task<Outcome> {
    const readOnly = session.route.freshness === 'bounded';
    const since = timer.now();
    const transaction = nextNumber++;
    const writes: string[] = [];
    const beginAnswer = yield* sendStatement(session, 'b', {
      kind: 'begin',
      readOnly,
    });
    if (beginAnswer === undefined || beginAnswer.error !== undefined) {
      return beginAnswer;
    }
    for (let count = random.integer(1, 4); count > 0; count--) {
      yield* sleep(LONGEST_PAUSE_MS * random.fraction());
      const access = !readOnly && random.fraction() < 0.5 ? 'write' : 'read';
      const {statement, shape} = chooseStatement(session, access);
      const fields = {since, transaction, shape};
      const request = createSentRequest(session, access, fields);
      if (access === 'write') {
        writes.push(request.id);
      }
      const answer = yield* sendChecked(session, request, statement);
      if (answer === undefined || answer.error !== undefined) {
        return closeFailedTransaction(session, answer, writes);
      }
    }
    if (random.fraction() < 0.1) {
      checker.onReportedNotRun(writes);
      return yield* sendStatement(session, 'r', {kind: 'rollback'});
    }
    const fields = {since, transaction, writes};
    const commit = createSentRequest(session, 'commit', fields);
    const answer = yield* sendChecked(session, commit, {kind: 'commit'});
    return answer?.error === undefined
      ? answer
      : closeFailedTransaction(session, answer, writes);
  }

  function closeFailedTransaction(
    session: Session,
    answer: Outcome,
    writes: readonly string[],
  ): Outcome {
    if (answer !== undefined && isReportedNotRun(answer)) {
      checker.onReportedNotRun(writes);
    }
    session.connection.close();
    return answer;
  }

  function* runCaller(
    route: CallerRoute,
    account: ClientAccount | undefined,
  ): Task<void> {
    let session: Session | undefined;
    while (timer.now() < options.until) {
      yield* sleep(LONGEST_PAUSE_MS * (0.2 + random.fraction()));
      if (session === undefined || session.isClosed) {
        session = createSession(route, account);
      }
      if (session === undefined) {
        continue;
      }
      yield* changeSettings(session);
      if (session.isClosed) {
        continue;
      }
      counts.started += 1;
      const at = timer.now();
      const isTransaction = random.fraction() < 0.25;
      const outcome = isTransaction
        ? yield* runTransaction(session)
        : yield* runSingle(session);
      record({
        at,
        duration: timer.now() - at,
        account: account?.name,
        isTransaction,
        failure: outcome === undefined ? 'no answer' : outcome.error?.name,
      });
    }
    session?.connection.close();
  }

  for (let number = 0; number < options.sessions; number++) {
    const route = routes[number % routes.length];
    if (route !== undefined) {
      runtime.spawn(
        'caller',
        runCaller(route, accounts[number % accounts.length]),
      );
    }
  }
  return counts;
}
