/** Serves callers' requests: the wiring of reads, writes and transactions. */
import {createRetryBudget} from '@kelpstep/pool';
import {
  CALLER_METHODS,
  Failure,
  Method,
  ParametersOf,
  ResultOf,
  callerBegin,
  callerCommit,
  callerOutcome,
  callerRead,
  callerRollback,
  callerWrite,
  createFailure,
  peerForward,
} from '@kelpstep/protocol';
import {
  NONCE_DIGITS,
  RequestNotes,
  checkKeyAge,
  createKeyMaker,
  createRequestNotes,
  createTransactionTable,
  formatTransactionId,
  runWrite,
  settleKey,
  settledAt,
} from '@kelpstep/request-ledger';
import {HandlerTable, Reply, createHandlerTable} from '@kelpstep/rpc';
import {
  Deferred,
  Future,
  Milliseconds,
  Task,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ActiveRequest, seenBy, tokenAfter} from './active_request';
import {createGroupTable} from './group_table';
import {DEFAULT_REQUEST_LIMITS} from './limits';
import {DEFAULT_REQUEST_POLICIES} from './policies';
import {runRead} from './read';
import {RequestFields, createRequestIntake} from './request_intake';
import type {
  ForwardedMethod,
  RequestService,
  RequestServiceOptions,
} from './service_types';
import {createTransactionRequests} from './transaction_requests';

/** Serves one request that passed the first checks. */
type Serve<P, R> = (
  parameters: P,
  request: ActiveRequest,
) => Task<Result<R, Failure>>;

/** Creates the request service of a proxy. */
export function createRequestService(
  options: RequestServiceOptions,
): RequestService {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  const limits = {...DEFAULT_REQUEST_LIMITS, ...options.limits};
  const policies = {...DEFAULT_REQUEST_POLICIES, ...options.policies};
  const groups = createGroupTable(options, policies, limits);
  const retryBudget = createRetryBudget(timer, policies.retryBudget);
  const makeKey = createKeyMaker(runtime, self.incarnation);
  const transactions = createTransactionTable({
    runtime,
    idleTime: limits.transactionIdleTime,
    totalTime: limits.transactionTotalTime,
  });
  const transactionRequests = createTransactionRequests({
    service: options,
    limits,
    transactions,
  });
  const checkFields = createRequestIntake({
    timer,
    limits,
    manifest: options.manifest,
  });
  let inFlight = 0;
  let isStopping = false;
  let drained: Deferred<undefined> | undefined;

  function activate(
    fields: RequestFields,
    method: string,
    notes: RequestNotes,
  ): Result<ActiveRequest, Failure> {
    const checked = checkFields(fields);
    if (checked.err) {
      return checked;
    }
    const {group, worth, deadline} = checked.val;
    const record = groups.get(group);
    if (record === undefined) {
      return Err(createFailure('NOT_READY'));
    }
    record.touch();
    retryBudget.deposit();
    const context = {
      runtime,
      group: record,
      kind: fields.kind ?? method,
      worth,
      deadline,
      policies,
      retryBudget,
      notes,
    };
    return Ok({checked: checked.val, context, record});
  }

  function* serveOne<P extends RequestFields, R>(
    method: string,
    parameters: P,
    notes: RequestNotes,
    serve: Serve<P, R>,
  ): Task<Result<R, Failure>> {
    const request = activate(parameters, method, notes);
    return request.ok ? yield* serve(parameters, request.val) : request;
  }

  /** Runs a request as a task of its own and counts it until its end. */
  function start<P extends RequestFields, R>(
    method: string,
    parameters: P,
    serve: Serve<P, R>,
    onEnd: (result: Result<R, Failure>, notes: RequestNotes) => void,
  ): Future<Reply<R>> {
    const notes = createRequestNotes();
    inFlight += 1;

    function* task(): Task<Result<R, Failure>> {
      try {
        const result = yield* serveOne(method, parameters, notes, serve);
        onEnd(result, notes);
        return result;
      } finally {
        inFlight -= 1;
        checkDrained();
      }
    }

    return runtime.spawn(method, task()).result;
  }

  function reportEnd(
    method: string,
    {group, kind}: RequestFields,
    startedAt: Milliseconds,
    result: Result<unknown, Failure>,
    notes: RequestNotes,
  ): void {
    options.onRequestEnd?.({
      method,
      group,
      kind,
      outcome: result.ok ? 'ok' : result.val.name,
      duration: timer.now() - startedAt,
      queueTime: notes.queueTime,
      servedBy: notes.servedBy,
      role: notes.role,
      age: notes.age,
      retries: notes.retries,
    });
  }

  /** Adds a caller's method; `isNew` tells work that a stop refuses. */
  function addCallerMethod<P extends RequestFields, R>(
    table: HandlerTable,
    method: Method<P, R>,
    isNew: (parameters: P) => boolean,
    serve: Serve<P, R>,
  ): void {
    table.handle(method, parameters => {
      const startedAt = timer.now();
      const {name} = method;
      if (isStopping && isNew(parameters)) {
        const refusal = Err(createFailure('STOPPING'));
        reportEnd(name, parameters, startedAt, refusal, createRequestNotes());
        return settledFuture(refusal);
      }
      return start(name, parameters, serve, (result, notes) =>
        reportEnd(name, parameters, startedAt, result, notes),
      );
    });
  }

  function* read(
    parameters: ParametersOf<typeof callerRead>,
    request: ActiveRequest,
  ): Task<Result<ResultOf<typeof callerRead>, Failure>> {
    if (parameters.transaction !== undefined) {
      return yield* transactionRequests.serve('read', parameters, request);
    }
    const {context, record, checked} = request;
    const readOptions = {
      context,
      record,
      policy: policies.read,
      dataCentre: self.dataCentre,
    };
    const result = yield* runRead(readOptions, {
      statement: parameters.statement,
      seen: checked.seen,
      maximumAge: parameters.maximumAge ?? checked.group.readStaleness,
    });
    if (result.err) {
      return result;
    }
    const {execution, target, role, age} = result.val;
    Object.assign(context.notes, {servedBy: target, role, age});
    return Ok({
      rows: execution.rows,
      token: tokenAfter(request, execution.at),
      servedBy: {target, role},
      age,
    });
  }

  function checkKey(
    key: {readonly id: string; readonly issuedAt: number},
    {checked}: ActiveRequest,
  ): Failure | undefined {
    return checkKeyAge(key, timer.wallClock(), {
      retention: checked.manifest.keyRetention,
      expiryMargin: limits.keyExpiryMargin,
      clockTolerance: limits.clockTolerance,
    });
  }

  function* write(
    parameters: ParametersOf<typeof callerWrite>,
    request: ActiveRequest,
  ): Task<Result<ResultOf<typeof callerWrite>, Failure>> {
    if (parameters.transaction !== undefined) {
      return yield* transactionRequests.serve('write', parameters, request);
    }
    const {statement} = parameters;
    const key = parameters.key ?? makeKey();
    const fault = checkKey(key, request);
    if (fault !== undefined) {
      return Err(fault);
    }
    const written = yield* runWrite(request.context, {statement, key});
    return written.map(({rows, at, duplicate}) => ({
      rows,
      token: tokenAfter(request, at),
      // A key made here was recorded by an attempt of this very request.
      duplicate: duplicate && parameters.key !== undefined,
    }));
  }

  function* begin(
    parameters: ParametersOf<typeof callerBegin>,
    request: ActiveRequest,
  ): Task<Result<ResultOf<typeof callerBegin>, Failure>> {
    const transaction = formatTransactionId({
      proxy: self.proxy,
      incarnation: self.incarnation,
      group: parameters.group,
      begunAt: timer.wallClock(),
      nonce: random.hexadecimal(NONCE_DIGITS),
    });
    const begun = yield* transactions.begin(
      request.context,
      transaction,
      seenBy(request),
    );
    return begun.map(floor => ({
      transaction,
      token: tokenAfter(request, floor),
    }));
  }

  function* outcome(
    {key}: ParametersOf<typeof callerOutcome>,
    request: ActiveRequest,
  ): Task<Result<ResultOf<typeof callerOutcome>, Failure>> {
    const fault = checkKey(key, request);
    if (fault !== undefined) {
      return Err(fault);
    }
    const settled = yield* settleKey(request.context, key);
    return settled.map(state => ({
      outcome: state.state === 'recorded' ? 'confirmed' : 'not_run',
      rows: state.state === 'recorded' ? state.execution.rows : [],
      token: tokenAfter(request, settledAt(state)),
    }));
  }

  function createCallerHandlers(): HandlerTable {
    const table = createHandlerTable();
    const isAlone = ({transaction}: {transaction?: string | undefined}) =>
      transaction === undefined;
    addCallerMethod(table, callerRead, isAlone, read);
    addCallerMethod(table, callerWrite, isAlone, write);
    addCallerMethod(table, callerBegin, () => true, begin);
    addCallerMethod(
      table,
      callerCommit,
      () => false,
      (parameters, request) =>
        transactionRequests.serve('commit', parameters, request),
    );
    addCallerMethod(
      table,
      callerRollback,
      () => false,
      (parameters, request) =>
        transactionRequests.serve('rollback', parameters, request),
    );
    addCallerMethod(table, callerOutcome, () => true, outcome);
    return table;
  }

  function serveForwarded(
    method: ForwardedMethod,
    body: unknown,
  ): Future<Reply<unknown>> {
    const parsed = CALLER_METHODS[method].parameters.safeParse(body);
    if (!parsed.success) {
      return settledFuture(Err(createFailure('INVALID_PARAMETERS')));
    }
    return start(
      method,
      parsed.data as RequestFields,
      (parameters, request) =>
        transactionRequests.serveForwarded(
          method,
          parameters as never,
          request,
        ) as Task<Result<unknown, Failure>>,
      () => {},
    );
  }

  function checkDrained(): void {
    if (drained === undefined || inFlight > 0) {
      return;
    }
    if (transactions.size() === 0) {
      drained.settle(undefined);
    } else {
      transactions.whenEmpty().onSettled(checkDrained);
    }
  }

  function drain(transactionTime: Milliseconds): Future<undefined> {
    isStopping = true;
    if (drained === undefined) {
      drained = createDeferred<undefined>();
      const cancel = timer.after(transactionTime, () => {
        transactions.endAll();
        checkDrained();
      });
      drained.future.onSettled(cancel);
      checkDrained();
    }
    return drained.future;
  }

  return {
    callerHandlers: createCallerHandlers(),
    addPeerHandlers(table) {
      table.handle(peerForward, ({method, request}) =>
        serveForwarded(method, request),
      );
    },
    reconfigure: groups.reconfigure,
    stopAccepting() {
      isStopping = true;
    },
    drain,
    inFlight: () => inFlight,
    openTransactions: transactions.size,
    targetLoads: groups.loads,
    close: groups.close,
  };
}
