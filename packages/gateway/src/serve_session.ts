/** Serves one caller's session and answers its requests in order. */
import type {Quota} from '@kelpstep/accounts';
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  receive,
  receiveWithTimeout,
  waitWithTimeout,
} from '@kelpstep/runtime';
import {
  type CallerRequest,
  type SessionStatement,
  type StatementAnswer,
  type TransactionState,
  applyLocally,
  createSessionSettings,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';

import type {CallerConnection, CallerMessage} from './caller_connection';
import type {ActiveConfiguration} from './configuration';
import type {Dispatcher} from './dispatch_types';
import type {GatewayEvents} from './gateway_events';
import {resolveStatement, sendPinned} from './pinned_statement';
import {takeFromQuota} from './quota_refusal';
import {
  LOCAL_REQUEST,
  type OpenTransaction,
  type RequestDetails,
  describeCutOff,
  describeRequest,
} from './request_details';
import {type StopPhase, answerUnfinished, refuseStopping} from './session_stop';
import {createRunCounter} from './statement_runs';
import {SUPERSEDED_PRIMARY, withoutSuccess} from './superseded_primary';
import {
  type FailureReason,
  LOST_ANSWER,
  STOPPING,
  type SessionTransition,
  answerInFailedTransaction,
  failTransaction,
  stateAfterFailure,
} from './transaction_failure';

export interface SessionOptions {
  readonly runtime: Runtime;
  readonly caller: CallerConnection;
  readonly configuration: ActiveConfiguration;
  readonly dispatcher: Dispatcher;
  readonly quota: Pick<Quota, 'take' | 'settle'>;
  readonly events: GatewayEvents;
  stopPhase(): StopPhase;
  /** True if commits that the target acknowledges may be lost. */
  isSuperseded(group: string, target: string): boolean;
  /**
   * For each session that serves a request, a function that answers the request
   * without its result, and refuses those that wait behind it.
   */
  readonly unfinished: Set<() => void>;
}

interface Transaction extends OpenTransaction {
  readonly pinned: PinnedConnection;
  hasWritten: boolean;
}

/**
 * How long a statement waits for the first configuration. The store answers
 * within milliseconds if it is available.
 */
const FIRST_CONFIGURATION_TIMEOUT_MS: Milliseconds = 300;

/** Serves a session until its caller or the gateway ends it. */
export function* serveSession(options: SessionOptions): Task<void> {
  const {runtime, caller, configuration, dispatcher, quota, events} = options;
  const {timer} = runtime;
  const settings = createSessionSettings();
  let state: TransactionState = 'idle';
  let transaction: Transaction | undefined;
  /** Why the last transaction was rolled back, until its caller is told. */
  let rolledBackBy: FailureReason | undefined;
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
    return yield* receiveWithTimeout(caller.messages, idle);
  }

  function* serveOutsideTransaction(
    request: CallerRequest,
    statement: SessionStatement,
  ): Task<[StatementAnswer, RequestDetails]> {
    const arrivedAt = timer.now();
    yield* waitWithTimeout(configuration.first, FIRST_CONFIGURATION_TIMEOUT_MS);
    const admission = configuration.admit(caller);
    if (admission.kind === 'refused') {
      return [admission.answer, LOCAL_REQUEST];
    }
    const {route} = admission;
    const account = admission.account?.name;
    const resolved = resolveStatement(settings, statement);
    if (resolved === undefined) {
      return [errorAnswer('notPrepared', 'idle'), LOCAL_REQUEST];
    }
    const grant = yield* takeFromQuota(quota, admission);
    if (Array.isArray(grant)) {
      return grant;
    }
    const runs = createRunCounter();
    const isWritableBegin = statement.kind === 'begin' && !statement.readOnly;
    const dispatched = yield* dispatcher.dispatch({
      id: request.id,
      route,
      account,
      ...resolved,
      settings,
      arrivedAt,
      lastCommit,
      needsPrimary:
        resolved.isWrite || isWritableBegin || route.freshness === 'primary',
      runs,
      isAbandoned: caller.isClosed,
    });
    const isDoubtful =
      resolved.isWrite && options.isSuperseded(route.group, dispatched.target);
    const result = isDoubtful ? withoutSuccess(dispatched) : dispatched;
    const {answer, pinned} = result;
    if (grant !== undefined) {
      quota.settle(grant, runs.total());
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
    const details = describeRequest(
      admission,
      result,
      statement.kind,
      resolved.isWrite,
    );
    return [{...answer, state}, details];
  }

  function* serveInTransaction(
    current: Transaction,
    request: CallerRequest,
    statement: SessionStatement,
  ): Task<[StatementAnswer, RequestDetails]> {
    const {pinned, route, account = '', via} = current;
    const details = {
      group: route.group,
      account,
      kind: `${route.freshness} ${statement.kind}`,
      target: pinned.target,
      attempts: 1,
      reason: '',
      via,
    };
    const resolved = resolveStatement(settings, statement);
    if (resolved === undefined || statement.kind === 'begin') {
      endTransaction();
      state = 'failed';
      return [errorAnswer('malformed', state), details];
    }
    current.hasWritten ||= resolved.isWrite;
    const isWrite =
      resolved.isWrite || (statement.kind === 'commit' && current.hasWritten);
    const answer = yield* sendPinned(timer, current, request.id, resolved);
    const isDoubtful =
      statement.kind === 'commit' &&
      current.hasWritten &&
      options.isSuperseded(route.group, pinned.target);
    if (answer !== undefined && answer.error === undefined && !isDoubtful) {
      state = answer.state;
      if (state !== 'open') {
        recordEnd(current, statement, answer);
      }
      return [answer, {...details, isWrite}];
    }
    const failure = answer?.error?.name ?? LOST_ANSWER;
    const isWithheld = answer !== undefined && answer.error === undefined;
    const reason = isWithheld ? SUPERSEDED_PRIMARY : failure;
    return [
      failCurrent(current, statement, failure),
      {...details, reason, isWrite},
    ];
  }

  /** Ends the transaction and records the position if it committed writes. */
  function recordEnd(
    current: Transaction,
    statement: SessionStatement,
    answer: StatementAnswer,
  ): void {
    if (statement.kind === 'commit' && current.hasWritten) {
      lastCommit = answer.position ?? lastCommit;
    }
    endTransaction();
  }

  function failCurrent(
    current: Transaction,
    statement: SessionStatement,
    reason: FailureReason,
  ): StatementAnswer {
    endTransaction();
    return applyTransition(
      failTransaction(statement, reason, current.hasWritten),
    );
  }

  function applyTransition(transition: SessionTransition): StatementAnswer {
    state = transition.state;
    return transition.answer;
  }

  /**
   * True without an account, if no key is needed any more, or if the key still
   * belongs to this account.
   */
  function mayContinue({account}: Transaction): boolean {
    return (
      account === undefined ||
      configuration.current()?.accounts === undefined ||
      configuration.trustedAccount(caller.keyDigest) === account
    );
  }

  /** Rolls back the transaction between two statements because of the stop. */
  function rollBackForStop(): void {
    endTransaction();
    state = 'failed';
    rolledBackBy = STOPPING;
  }

  function answerRolledBack(
    statement: SessionStatement,
    reason: FailureReason,
  ): StatementAnswer {
    rolledBackBy = undefined;
    // No commit has been sent, so the outcome is certain.
    return applyTransition(failTransaction(statement, reason, false));
  }

  /** Rolls back a transaction that its caller may no longer continue. */
  function rollBackRevoked(statement: SessionStatement): StatementAnswer {
    endTransaction();
    state = stateAfterFailure(statement);
    const admission = configuration.admit(caller);
    return admission.kind === 'refused'
      ? {...admission.answer, state}
      : errorAnswer('aborted', state, 'rolled back: another account');
  }

  function* serve(
    request: CallerRequest,
  ): Task<[StatementAnswer, RequestDetails]> {
    const {statement} = request;
    if (statement === undefined) {
      return [errorAnswer('malformed', state), LOCAL_REQUEST];
    }
    if (rolledBackBy !== undefined) {
      const details = {...LOCAL_REQUEST, reason: rolledBackBy};
      return [answerRolledBack(statement, rolledBackBy), details];
    }
    if (state === 'failed') {
      return [
        applyTransition(answerInFailedTransaction(statement)),
        LOCAL_REQUEST,
      ];
    }
    if (transaction !== undefined && !mayContinue(transaction)) {
      return [rollBackRevoked(statement), LOCAL_REQUEST];
    }
    switch (statement.kind) {
      case 'set':
      case 'prepare':
      case 'deallocate':
        applyLocally(settings, statement);
        return [localAnswer(state), LOCAL_REQUEST];
      case 'commit':
      case 'rollback':
        break;
    }
    if (transaction !== undefined) {
      return yield* serveInTransaction(transaction, request, statement);
    }
    if (statement.kind === 'commit' || statement.kind === 'rollback') {
      return [errorAnswer('malformed', state), LOCAL_REQUEST];
    }
    if (options.stopPhase() === 'endingTransactions') {
      return [refuseStopping(), {...LOCAL_REQUEST, reason: STOPPING}];
    }
    return yield* serveOutsideTransaction(request, statement);
  }

  /**
   * Sends the answer and returns it, because an invalid key ends the session.
   */
  function* handle(request: CallerRequest): Task<StatementAnswer> {
    const startedAt = timer.now();
    const answerNow = () => answerWithoutResult(request, startedAt);
    options.unfinished.add(answerNow);
    try {
      const [answer, details] = yield* serve(request);
      const isUndelivered = caller.isClosed();
      // Log positions are not exposed to callers.
      caller.answer({...answer, position: undefined});
      events.onRequestEnd({
        id: request.id,
        ...details,
        outcome: answer.error?.name ?? 'ok',
        duration: timer.now() - startedAt,
        isUndelivered,
      });
      return answer;
    } finally {
      options.unfinished.delete(answerNow);
    }
  }

  function answerWithoutResult(
    {id, statement}: CallerRequest,
    startedAt: Milliseconds,
  ): void {
    if (statement !== undefined) {
      const admission = configuration.admit(caller);
      const details = describeCutOff(statement, admission, transaction);
      const isWrite =
        details.isWrite ||
        resolveStatement(settings, statement)?.isWrite === true;
      const answer = answerUnfinished(statement, isWrite, transaction);
      const isUndelivered = caller.isClosed();
      caller.answer(answer);
      events.onRequestEnd({
        id,
        ...details,
        isWrite,
        outcome: answer.error?.name ?? 'ok',
        duration: timer.now() - startedAt,
        isUndelivered,
      });
    }
    refuseWaiting();
  }

  /** Refuses the requests that have been read and not been started. */
  function refuseWaiting(): void {
    for (;;) {
      const message = caller.messages.take();
      if (message === undefined) {
        return;
      }
      if (message.kind === 'request') {
        caller.answer(refuseStopping());
        events.onRequestEnd({
          id: message.request.id,
          ...LOCAL_REQUEST,
          reason: STOPPING,
          outcome: 'busy',
          duration: 0,
          isUndelivered: caller.isClosed(),
        });
      }
    }
  }

  try {
    for (;;) {
      const phase = options.stopPhase();
      if (phase === 'endingTransactions' && transaction !== undefined) {
        rollBackForStop();
      }
      const isDone = state === 'idle' && caller.messages.size() === 0;
      if (phase !== 'serving' && isDone) {
        break;
      }
      const message = yield* nextMessage();
      if (message === undefined) {
        // The transaction was idle for too long; the next request gets the
        // error.
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
