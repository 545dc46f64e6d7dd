/**
 * Serves callers' requests: dispatches methods, counts requests in flight and
 * drains.
 */
import {createRetryBudget} from '@kelpstep/pool';
import {
  CALLER_METHODS,
  Failure,
  Method,
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
  RequestMetadata,
  createKeyGenerator,
  createRequestMetadata,
  createTransactionTable,
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

import type {ActiveRequest} from './active_request';
import {RequestHandler, createCallerMethods} from './caller_methods';
import {createGroupTable} from './group_table';
import {createKeyCheck} from './key_check';
import {DEFAULT_REQUEST_LIMITS} from './limits';
import {createLocalTransactions} from './local_transactions';
import {DEFAULT_REQUEST_POLICIES} from './policies';
import {
  RequestFields,
  RequestSource,
  createRequestValidator,
} from './request_validation';
import type {
  ForwardedMethod,
  RequestService,
  RequestServiceOptions,
} from './service_types';
import {
  TransactionFields,
  createTransactionRequests,
} from './transaction_requests';

function rethrow(error: unknown): never {
  throw error;
}

/**
 * Creates a service that accepts requests at once. Policies and limits that
 * `options` omits have their defaults.
 */
export function createRequestService(
  options: RequestServiceOptions,
): RequestService {
  const {runtime, self} = options;
  const {timer} = runtime;
  const limits = {...DEFAULT_REQUEST_LIMITS, ...options.limits};
  const policies = {...DEFAULT_REQUEST_POLICIES, ...options.policies};
  const groups = createGroupTable(options, policies, limits);
  const retryBudget = createRetryBudget(timer, policies.retryBudget);
  const checkKey = createKeyCheck(timer, limits);
  const transactions = createTransactionTable({
    runtime,
    idleTimeout: limits.transactionIdleTime,
    maximumDuration: limits.transactionTotalTime,
  });
  const transactionRequests = createTransactionRequests(
    options,
    createLocalTransactions({timer, transactions, checkKey}),
  );
  const methods = createCallerMethods({
    service: options,
    readPolicy: policies.read,
    transactions,
    transactionRequests,
    checkKey,
    makeKey: createKeyGenerator(runtime, self.incarnation),
  });
  const validateRequest = createRequestValidator({
    timer,
    limits,
    manifest: options.manifest,
    isManifestCurrent: options.isManifestCurrent,
  });
  const onFault = options.onFault ?? rethrow;
  let inFlight = 0;
  let isStopping = false;
  let drained: Deferred<undefined> | undefined;

  function activateRequest(
    fields: RequestFields,
    source: RequestSource,
    method: string,
    notes: RequestMetadata,
  ): Result<ActiveRequest, Failure> {
    const validated = validateRequest(fields, source);
    if (validated.err) {
      return validated;
    }
    const {group, worth, deadline} = validated.val;
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
      metadata: notes,
    };
    const token = fields.token ?? '';
    return Ok({validated: validated.val, context, record, token});
  }

  /**
   * Runs a request as a separate task; counts it as in flight until it ends.
   */
  function startRequest<P extends RequestFields, R>(
    method: string,
    parameters: P,
    source: RequestSource,
    serve: RequestHandler<P, R>,
    onEnd: (result: Result<R, Failure>, notes: RequestMetadata) => void,
  ): Future<Reply<R>> {
    const notes = createRequestMetadata();
    inFlight += 1;

    function* task(): Task<Result<R, Failure>> {
      try {
        const request = activateRequest(parameters, source, method, notes);
        const result = request.ok
          ? yield* serve(parameters, request.val)
          : request;
        onEnd(result, notes);
        return result;
      } catch (error) {
        onFault(error, method);
        const result = Err(createFailure('INTERNAL_ERROR'));
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
    notes: RequestMetadata,
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

  /**
   * Adds a caller's method to the handlers. A stopping proxy refuses requests
   * for which `isNew` is true.
   */
  function addCallerMethod<P extends RequestFields, R>(
    table: HandlerTable,
    method: Method<P, R>,
    isNew: (parameters: P) => boolean,
    serve: RequestHandler<P, R>,
  ): void {
    table.handle(method, parameters => {
      const startedAt = timer.now();
      const {name} = method;
      if (isStopping && isNew(parameters)) {
        const refusal = Err(createFailure('STOPPING'));
        reportEnd(
          name,
          parameters,
          startedAt,
          refusal,
          createRequestMetadata(),
        );
        return settledFuture(refusal);
      }
      return startRequest(name, parameters, 'caller', serve, (result, notes) =>
        reportEnd(name, parameters, startedAt, result, notes),
      );
    });
  }

  function createCallerHandlers(): HandlerTable {
    const table = createHandlerTable();
    const isStandalone = ({transaction}: {transaction?: string | undefined}) =>
      transaction === undefined;
    addCallerMethod(table, callerRead, isStandalone, methods.read);
    addCallerMethod(table, callerWrite, isStandalone, methods.write);
    addCallerMethod(table, callerBegin, () => true, methods.begin);
    addCallerMethod(table, callerCommit, () => false, methods.commit);
    addCallerMethod(table, callerRollback, () => false, methods.rollback);
    addCallerMethod(table, callerOutcome, () => true, methods.outcome);
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
    return startRequest(
      method,
      parsed.data as TransactionFields,
      'proxy',
      (parameters: TransactionFields, request) =>
        transactionRequests.serveForwarded(method, parameters, request),
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
        transactions.rollBackAll();
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
