/**
 * Serves requests of transactions that are held by this proxy or by no live
 * proxy.
 */
import {
  Failure,
  IdempotencyKey,
  LogPosition,
  ParametersOf,
  ResultOf,
  callerCommit,
  callerRead,
  callerRollback,
  callerWrite,
  createFailure,
} from '@kelpstep/protocol';
import {
  TransactionAnswer,
  TransactionIdParts,
  TransactionTable,
  deriveCommitKey,
  resolveCommit,
} from '@kelpstep/request-ledger';
import type {Task, TimerService} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ActiveRequest, seenPosition, tokenAfter} from './active_request';
import type {KeyCheck} from './key_check';
import type {ForwardedMethod} from './service_types';

/** Methods that a request with a transaction id may call, by short name. */
interface TransactionMethods {
  read: typeof callerRead;
  write: typeof callerWrite;
  commit: typeof callerCommit;
  rollback: typeof callerRollback;
}

export type TransactionParameters<M extends ForwardedMethod> = ParametersOf<
  TransactionMethods[M]
>;

export type TransactionResult<M extends ForwardedMethod> = ResultOf<
  TransactionMethods[M]
>;

/** A transaction id and its parsed parts. */
export interface ParsedTransaction {
  readonly id: string;
  readonly name: TransactionIdParts;
}

/**
 * Task with the result of a transaction method, whose type depends on the
 * method.
 */
export type TransactionReply = Task<Result<unknown, Failure>>;

/** Serves requests of transactions without contacting another proxy. */
export interface LocalTransactions {
  serve(
    method: ForwardedMethod,
    parameters: unknown,
    transaction: ParsedTransaction,
    request: ActiveRequest,
  ): TransactionReply;
  /**
   * Determines whether a commit has run whose transaction no proxy holds any
   * longer.
   */
  resolve(
    key: IdempotencyKey | undefined,
    transaction: ParsedTransaction,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'commit'>, Failure>>;
}

export interface LocalTransactionsOptions {
  readonly timer: TimerService;
  readonly transactions: TransactionTable;
  readonly checkKey: KeyCheck;
}

export function createLocalTransactions(
  options: LocalTransactionsOptions,
): LocalTransactions {
  const {timer, transactions, checkKey} = options;

  function* read(
    parameters: TransactionParameters<'read'>,
    id: string,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'read'>, Failure>> {
    const {context, record} = request;
    const {statement, maximumAge} = parameters;
    const answer = yield* transactions.run(context, id, {
      statement,
      mode: 'read',
      seen: seenPosition(request),
    });
    if (answer.err) {
      return answer;
    }
    const {execution, target} = answer.val;
    const age = dataAge(answer.val, record);
    context.metadata.age = age;
    if (maximumAge !== undefined && age > maximumAge) {
      return Err(createFailure('NO_FRESH_TARGET'));
    }
    return Ok({
      rows: execution.rows,
      token: tokenAfter(request, execution.at),
      servedBy: {target, role: 'primary'},
      age,
    });
  }

  function dataAge(
    {target, freshAt}: TransactionAnswer,
    record: ActiveRequest['record'],
  ): number {
    const member = record.members().find(view => view.member.id === target);
    const known = member?.freshAt ?? -Infinity;
    return Math.max(0, timer.now() - Math.max(known, freshAt));
  }

  function* write(
    {statement, key}: TransactionParameters<'write'>,
    id: string,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'write'>, Failure>> {
    if (key !== undefined) {
      const message = 'In a transaction the key goes with the commit.';
      return Err(createFailure('INVALID_PARAMETERS', {message}));
    }
    const answer = yield* transactions.run(request.context, id, {
      statement,
      mode: 'write',
      seen: seenPosition(request),
    });
    return answer.map(({execution}) => ({
      rows: execution.rows,
      token: tokenAfter(request, execution.at),
      duplicate: false,
    }));
  }

  function* commit(
    {key}: TransactionParameters<'commit'>,
    transaction: ParsedTransaction,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'commit'>, Failure>> {
    const {id, name} = transaction;
    const effectiveKey = key ?? deriveCommitKey(id, name);
    const failure = checkKey(effectiveKey, request.validated.manifest);
    if (failure !== undefined) {
      return Err(failure);
    }
    if (!transactions.has(id)) {
      return yield* resolve(key, transaction, request);
    }
    const {context} = request;
    const committed = yield* transactions.commit(context, id, effectiveKey);
    return committed.map(({at, duplicate}) => ({
      token: tokenAfter(request, at),
      duplicate,
    }));
  }

  function* resolve(
    key: IdempotencyKey | undefined,
    {id, name}: ParsedTransaction,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'commit'>, Failure>> {
    const derivedKey = deriveCommitKey(id, name);
    // An earlier commit request may have been sent without the caller's key.
    const keys = key === undefined ? [derivedKey] : [key, derivedKey];
    const resolved = yield* resolveCommit(request.context, keys);
    return resolved.map(({at}) => ({
      token: tokenAfter(request, at),
      duplicate: true,
    }));
  }

  function* rollback(
    id: string,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'rollback'>, Failure>> {
    const rolledBack = yield* transactions.rollBack(request.context, id);
    return rolledBack.map((floor: LogPosition) => ({
      token: tokenAfter(request, floor),
    }));
  }

  function serve(
    method: ForwardedMethod,
    parameters: unknown,
    transaction: ParsedTransaction,
    request: ActiveRequest,
  ): TransactionReply {
    const {id} = transaction;
    switch (method) {
      case 'read':
        return read(parameters as TransactionParameters<'read'>, id, request);
      case 'write':
        return write(parameters as TransactionParameters<'write'>, id, request);
      case 'commit':
        return commit(
          parameters as TransactionParameters<'commit'>,
          transaction,
          request,
        );
      case 'rollback':
        return rollback(id, request);
    }
  }

  return {serve, resolve};
}
