/** Implements the callers' methods for validated requests. */
import {
  Failure,
  IdempotencyKey,
  ParametersOf,
  ResultOf,
  callerBegin,
  callerOutcome,
  callerRead,
  callerWrite,
} from '@kelpstep/protocol';
import {
  NONCE_DIGIT_COUNT,
  TransactionTable,
  formatTransactionId,
  runWrite,
  settleKey,
  settlementPosition,
} from '@kelpstep/request-ledger';
import type {Task} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ActiveRequest, seenPosition, tokenAfter} from './active_request';
import type {KeyCheck} from './key_check';
import type {
  TransactionParameters,
  TransactionResult,
} from './local_transactions';
import {runRead} from './read';
import type {ReadPolicy} from './read_policy';
import type {RequestServiceOptions} from './service_types';
import type {TransactionRequests} from './transaction_requests';

export type RequestHandler<P, R> = (
  parameters: P,
  request: ActiveRequest,
) => Task<Result<R, Failure>>;

/** Handler with the parameters and result of a method. */
export type MethodHandler<M> = RequestHandler<ParametersOf<M>, ResultOf<M>>;

export interface CallerMethodsOptions {
  readonly service: RequestServiceOptions;
  readonly readPolicy: ReadPolicy;
  readonly transactions: TransactionTable;
  readonly transactionRequests: TransactionRequests;
  readonly checkKey: KeyCheck;
  makeKey(): IdempotencyKey;
}

export interface CallerMethods {
  readonly read: MethodHandler<typeof callerRead>;
  readonly write: MethodHandler<typeof callerWrite>;
  readonly begin: MethodHandler<typeof callerBegin>;
  readonly commit: RequestHandler<
    TransactionParameters<'commit'>,
    TransactionResult<'commit'>
  >;
  readonly rollback: RequestHandler<
    TransactionParameters<'rollback'>,
    TransactionResult<'rollback'>
  >;
  readonly outcome: MethodHandler<typeof callerOutcome>;
}

export function createCallerMethods(
  options: CallerMethodsOptions,
): CallerMethods {
  const {transactions, transactionRequests, checkKey, makeKey} = options;
  const {self, runtime} = options.service;
  const {timer, random} = runtime;

  function* read(
    parameters: ParametersOf<typeof callerRead>,
    request: ActiveRequest,
  ): Task<Result<ResultOf<typeof callerRead>, Failure>> {
    if (parameters.transaction !== undefined) {
      return yield* transactionRequests.serve('read', parameters, request);
    }
    const {context, record, validated} = request;
    const readOptions = {
      context,
      record,
      policy: options.readPolicy,
      dataCentre: self.dataCentre,
    };
    const result = yield* runRead(readOptions, {
      statement: parameters.statement,
      seen: validated.seen,
      maximumAge: parameters.maximumAge ?? validated.group.readStaleness,
    });
    if (result.err) {
      return result;
    }
    const {execution, target, role, age} = result.val;
    Object.assign(context.metadata, {servedBy: target, role, age});
    return Ok({
      rows: execution.rows,
      token: tokenAfter(request, execution.at),
      servedBy: {target, role},
      age,
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
    const failure = checkKey(key, request.validated.manifest);
    if (failure !== undefined) {
      return Err(failure);
    }
    const written = yield* runWrite(request.context, {statement, key});
    return written.map(({rows, at, duplicate}) => ({
      rows,
      token: tokenAfter(request, at),
      // A generated key can only have been recorded by this request itself.
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
      nonce: random.hexadecimal(NONCE_DIGIT_COUNT),
    });
    const begun = yield* transactions.begin(
      request.context,
      transaction,
      seenPosition(request),
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
    const failure = checkKey(key, request.validated.manifest);
    if (failure !== undefined) {
      return Err(failure);
    }
    const settled = yield* settleKey(request.context, key);
    return settled.map(state => ({
      outcome: state.state === 'recorded' ? 'confirmed' : 'not_run',
      rows: state.state === 'recorded' ? state.execution.rows : [],
      token: tokenAfter(request, settlementPosition(state)),
    }));
  }

  return {
    read,
    write,
    begin,
    commit: (parameters, request) =>
      transactionRequests.serve('commit', parameters, request),
    rollback: (parameters, request) =>
      transactionRequests.serve('rollback', parameters, request),
    outcome,
  };
}
