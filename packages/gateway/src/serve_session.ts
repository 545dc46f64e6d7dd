/** Serves one caller's session: settings, transaction, answers in order. */
import type {Quota} from '@kelpstep/accounts';
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  receive,
  receiveAtMost,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import {
  type CallerRequest,
  type PreparedShape,
  type SessionStatement,
  type StatementAnswer,
  type TransactionState,
  applyLocally,
  createSessionSettings,
  errorAnswer,
  localAnswer,
  sharedName,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';

import type {CallerConnection, CallerMessage} from './caller_connection';
import type {
  CallerRoute,
  ConfigurationKeeper,
  SessionAdmission,
} from './configuration';
import {
  type DispatchResult,
  type Dispatcher,
  refusalAnswer,
} from './dispatch_types';
import type {GatewayEvents, RequestEnd} from './gateway_events';
import {
  type FailureReason,
  type SessionStep,
  answerInFailed,
  failTransaction,
  stateAfterFailure,
} from './transaction_failure';

/** Dependencies of a session. */
export interface SessionOptions {
  readonly runtime: Runtime;
  readonly caller: CallerConnection;
  readonly configuration: ConfigurationKeeper;
  readonly dispatcher: Dispatcher;
  readonly quota: Pick<Quota, 'take' | 'charge'>;
  readonly events: GatewayEvents;
  /** True once idle sessions must end. */
  isStopping(): boolean;
}

interface Transaction {
  readonly pinned: PinnedConnection;
  /** Peer that has the transaction's connection; empty if it is local. */
  readonly via: string;
  readonly route: CallerRoute;
  /** Client account that began the transaction. */
  readonly account: string | undefined;
  hasWritten: boolean;
}

/** A statement to forward, with the shape of the prepared one it executes. */
interface Resolved {
  readonly statement: SessionStatement;
  readonly shape: PreparedShape | undefined;
  readonly isWrite: boolean;
}

type Admitted = Extract<SessionAdmission, {kind: 'admitted'}>;

type RequestFacts = Pick<
  RequestEnd,
  'group' | 'account' | 'kind' | 'target' | 'attempts' | 'reason' | 'via'
>;

const LOCAL: RequestFacts = {
  group: '',
  account: '',
  kind: 'local',
  target: '',
  attempts: 0,
  reason: '',
  via: '',
};

/**
 * How long a statement waits for the first configuration. The store answers
 * within milliseconds if it is available.
 */
const FIRST_CONFIGURATION_WAIT: Milliseconds = 300;
/** Backoff before a statement is sent again after a `busy` answer. */
const BUSY_PAUSE: Milliseconds = 20;

const OVER_QUOTA = 'over quota';

/** Serves a session to its end. */
export function* serveSession(options: SessionOptions): Task<void> {
  const {runtime, caller, configuration, dispatcher, quota, events} = options;
  const {timer} = runtime;
  const settings = createSessionSettings();
  let state: TransactionState = 'idle';
  let transaction: Transaction | undefined;
  let lastCommit: LogPosition | undefined;

  function endTransaction(): void {
    transaction?.pinned.end();
    transaction = undefined;
  }

  function* nextMessage(): Task<CallerMessage | undefined> {
    if (transaction === undefined) {
      return yield* receive(caller.messages);
    }
    const idle = configuration.current()?.transactionIdle ?? Infinity;
    return yield* receiveAtMost(caller.messages, idle);
  }

  function resolve(statement: SessionStatement): Resolved | undefined {
    if (statement.kind !== 'execute') {
      const isWrite = statement.kind === 'write';
      return {statement, shape: undefined, isWrite};
    }
    const shape = settings.prepared.get(statement.name);
    if (shape === undefined) {
      return undefined;
    }
    const renamed = {...statement, name: sharedName(shape)};
    return {statement: renamed, shape, isWrite: shape.access === 'write'};
  }

  function factsOf(
    {route, account}: Admitted,
    result: DispatchResult,
    kind: string,
  ): RequestFacts {
    const {target, attempts, reason, via} = result;
    return {
      group: route.group,
      account: account?.name ?? '',
      kind: `${route.freshness} ${kind}`,
      target,
      attempts,
      reason,
      via,
    };
  }

  /**
   * Takes one operation from the account's quota; returns the refusal if the
   * quota is exhausted.
   */
  function* countOperation({
    route,
    account,
  }: Admitted): Task<[StatementAnswer, RequestFacts] | undefined> {
    if (account === undefined) {
      return undefined;
    }
    const counted = yield* quota.take(account.name);
    if (counted.kind === 'granted') {
      return undefined;
    }
    const facts = {...LOCAL, group: route.group, account: account.name};
    return [
      refusalAnswer(OVER_QUOTA, counted.retryAfter),
      {...facts, kind: route.freshness, reason: OVER_QUOTA},
    ];
  }

  function* serveOutside(
    request: CallerRequest,
    statement: SessionStatement,
  ): Task<[StatementAnswer, RequestFacts]> {
    const arrivedAt = timer.now();
    yield* waitAtMost(configuration.first, FIRST_CONFIGURATION_WAIT);
    const admission = configuration.admit(caller);
    if (admission.kind === 'refused') {
      return [admission.answer, LOCAL];
    }
    const {route} = admission;
    const account = admission.account?.name;
    const resolved = resolve(statement);
    if (resolved === undefined) {
      return [errorAnswer('notPrepared', 'idle'), LOCAL];
    }
    const refusal = yield* countOperation(admission);
    if (refusal !== undefined) {
      return refusal;
    }
    const isPlainBegin = statement.kind === 'begin' && !statement.readOnly;
    const result = yield* dispatcher.dispatch({
      id: request.id,
      route,
      account,
      ...resolved,
      settings,
      arrivedAt,
      lastCommit,
      needsPrimary:
        resolved.isWrite || isPlainBegin || route.freshness === 'primary',
      isAbandoned: caller.isClosed,
    });
    const {answer, pinned} = result;
    if (account !== undefined && result.attempts > 1) {
      quota.charge(account, result.attempts - 1);
    }
    if (pinned !== undefined) {
      transaction = {
        pinned,
        via: result.via,
        route,
        account,
        hasWritten: false,
      };
      state = 'open';
    } else if (resolved.isWrite && answer.error === undefined) {
      lastCommit = answer.position ?? lastCommit;
    }
    const facts = factsOf(admission, result, statement.kind);
    return [{...answer, state}, facts];
  }

  function* sendPinned(
    held: Transaction,
    request: CallerRequest,
    {statement, shape}: Resolved,
  ): Task<StatementAnswer | undefined> {
    const deadline = timer.now() + held.route.timeout;
    const {id} = request;
    for (;;) {
      const reply = yield* waitFor(
        held.pinned.send({id, body: statement}, shape, deadline - timer.now()),
      );
      if (reply.err) {
        return undefined;
      }
      const answer = reply.val;
      const mayRepeat =
        answer.error?.name === 'busy' && answer.state === 'open';
      if (!mayRepeat || timer.now() + BUSY_PAUSE >= deadline) {
        return answer;
      }
      yield* sleep(BUSY_PAUSE);
    }
  }

  function* serveInside(
    held: Transaction,
    request: CallerRequest,
    statement: SessionStatement,
  ): Task<[StatementAnswer, RequestFacts]> {
    const {pinned, route, account = '', via} = held;
    const facts = {
      group: route.group,
      account,
      kind: `${route.freshness} ${statement.kind}`,
      target: pinned.target,
      attempts: 1,
      reason: '',
      via,
    };
    const resolved = resolve(statement);
    if (resolved === undefined || statement.kind === 'begin') {
      endTransaction();
      state = 'failed';
      return [errorAnswer('malformed', state), facts];
    }
    held.hasWritten ||= resolved.isWrite;
    const answer = yield* sendPinned(held, request, resolved);
    if (answer !== undefined && answer.error === undefined) {
      state = answer.state;
      if (state !== 'open') {
        concludeEnd(held, statement, answer);
      }
      return [answer, facts];
    }
    const reason = answer?.error?.name ?? 'answer lost';
    return [fail(held, statement, reason), {...facts, reason}];
  }

  /** Called when the target's answer has ended the transaction. */
  function concludeEnd(
    held: Transaction,
    statement: SessionStatement,
    answer: StatementAnswer,
  ): void {
    if (statement.kind === 'commit' && held.hasWritten) {
      lastCommit = answer.position ?? lastCommit;
    }
    endTransaction();
  }

  function fail(
    held: Transaction,
    statement: SessionStatement,
    reason: FailureReason,
  ): StatementAnswer {
    endTransaction();
    return take(failTransaction(statement, reason, held.hasWritten));
  }

  function take(step: SessionStep): StatementAnswer {
    state = step.state;
    return step.answer;
  }

  /** True if the caller's key still belongs to the transaction's account. */
  function mayGoOn({account}: Transaction): boolean {
    return (
      account === undefined ||
      configuration.trustedHolder(caller.keyDigest) === account
    );
  }

  /** Rolls back a transaction that its caller may no longer continue. */
  function revoke(statement: SessionStatement): StatementAnswer {
    endTransaction();
    state = stateAfterFailure(statement);
    const admission = configuration.admit(caller);
    return admission.kind === 'refused'
      ? {...admission.answer, state}
      : errorAnswer('aborted', state, 'rolled back: another account');
  }

  function* serve(
    request: CallerRequest,
  ): Task<[StatementAnswer, RequestFacts]> {
    const {statement} = request;
    if (statement === undefined) {
      return [errorAnswer('malformed', state), LOCAL];
    }
    if (state === 'failed') {
      return [take(answerInFailed(statement)), LOCAL];
    }
    if (transaction !== undefined && !mayGoOn(transaction)) {
      return [revoke(statement), LOCAL];
    }
    switch (statement.kind) {
      case 'set':
      case 'prepare':
      case 'deallocate':
        applyLocally(settings, statement);
        return [localAnswer(state), LOCAL];
      case 'commit':
      case 'rollback':
        break;
    }
    if (transaction !== undefined) {
      return yield* serveInside(transaction, request, statement);
    }
    if (statement.kind === 'commit' || statement.kind === 'rollback') {
      return [errorAnswer('malformed', state), LOCAL];
    }
    return yield* serveOutside(request, statement);
  }

  /** Sends the answer and returns it, as an invalid key ends the session. */
  function* handle(request: CallerRequest): Task<StatementAnswer> {
    const startedAt = timer.now();
    const [answer, facts] = yield* serve(request);
    // Log positions are not exposed to callers.
    caller.answer({...answer, position: undefined});
    events.onRequestEnd({
      id: request.id,
      ...facts,
      outcome: answer.error?.name ?? 'ok',
      duration: timer.now() - startedAt,
    });
    return answer;
  }

  try {
    for (;;) {
      if (options.isStopping() && state === 'idle') {
        break;
      }
      const message = yield* nextMessage();
      if (message === undefined) {
        // Idle too long inside a transaction: the next request gets the error.
        endTransaction();
        state = 'failed';
      } else if (message.kind === 'closed') {
        break;
      } else if (message.kind === 'request') {
        const {error} = yield* handle(message.request);
        if (error?.name === 'notAuthorized') {
          break;
        }
      }
    }
  } finally {
    endTransaction();
    caller.close();
    events.onSession('closed', caller.database);
  }
}
