/** Routes requests of transactions to the proxy that holds the transaction. */
import {
  Failure,
  IdempotencyKey,
  ProxyIdentity,
  createFailure,
} from '@kelpstep/protocol';
import {parseTransactionId, remainingTime} from '@kelpstep/request-ledger';
import type {RequestFailure} from '@kelpstep/rpc';
import {Task, waitFor} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {ActiveRequest} from './active_request';
import type {
  LocalTransactions,
  ParsedTransaction,
  TransactionParameters,
  TransactionReply,
  TransactionResult,
} from './local_transactions';
import type {ForwardedMethod, RequestServiceOptions} from './service_types';

export interface TransactionRequests {
  /** Serves a caller's request, forwarding it if another proxy is the owner. */
  serve<M extends ForwardedMethod>(
    method: M,
    parameters: TransactionParameters<M>,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<M>, Failure>>;
  /** Serves a request from another proxy; never forwards it again. */
  serveForwarded(
    method: ForwardedMethod,
    parameters: TransactionFields,
    request: ActiveRequest,
  ): TransactionReply;
}

export interface TransactionFields {
  readonly group: string;
  readonly transaction?: string | undefined;
  readonly key?: IdempotencyKey | undefined;
  readonly accountKey?: string | undefined;
}

/**
 * Share of a commit's remaining time for which the owner's answer is awaited.
 * The rest is kept for determining the outcome without the owner.
 */
const FORWARDED_COMMIT_SHARE = 0.6;

export function createTransactionRequests(
  service: RequestServiceOptions,
  local: LocalTransactions,
): TransactionRequests {
  const {self, runtime} = service;
  const {timer} = runtime;

  function parseTransaction(
    parameters: TransactionFields,
  ): ParsedTransaction | undefined {
    const id = parameters.transaction ?? '';
    const name = parseTransactionId(id);
    return name === undefined || name.group !== parameters.group
      ? undefined
      : {id, name};
  }

  /**
   * Returns the other proxy that owns the transaction; undefined if this proxy
   * owns it or the owner has stopped.
   */
  function findOwner({name}: ParsedTransaction): ProxyIdentity | undefined {
    const {proxy, incarnation} = name;
    const isHere = proxy === self.proxy && incarnation === self.incarnation;
    return isHere ? undefined : service.findProxy(proxy, incarnation);
  }

  /** Omits the account key, which this proxy has already checked. */
  function* forward(
    owner: ProxyIdentity,
    method: ForwardedMethod,
    {accountKey: unusedKey, ...parameters}: TransactionFields,
    request: ActiveRequest,
  ): Task<Result<unknown, RequestFailure>> {
    const remaining = remainingTime(request.context);
    const deadline = Math.floor(timer.wallClock() + remaining);
    const timeout =
      method === 'commit' ? remaining * FORWARDED_COMMIT_SHARE : remaining;
    return yield* waitFor(
      service.forward(owner, method, {...parameters, deadline}, timeout),
    );
  }

  /**
   * Returns the answer if the owner does not respond. Only a commit can be
   * resolved without the owner.
   */
  function* resolveWithoutOwner(
    method: ForwardedMethod,
    parameters: TransactionFields,
    transaction: ParsedTransaction,
    request: ActiveRequest,
    failure: RequestFailure,
  ): TransactionReply {
    if (method === 'commit') {
      return yield* local.resolve(parameters.key, transaction, request);
    }
    const {proxy} = transaction.name;
    const message = `No answer from the transaction's proxy ${proxy}.`;
    const isUnknown = method === 'write' && failure.sent;
    return Err(
      createFailure(isUnknown ? 'OUTCOME_UNKNOWN' : 'TIMED_OUT', {message}),
    );
  }

  function* route(
    method: ForwardedMethod,
    parameters: TransactionFields,
    request: ActiveRequest,
  ): TransactionReply {
    const transaction = parseTransaction(parameters);
    if (transaction === undefined) {
      return Err(createFailure('TRANSACTION_UNKNOWN'));
    }
    const owner = findOwner(transaction);
    if (owner === undefined) {
      return yield* local.serve(method, parameters, transaction, request);
    }
    const reply = yield* forward(owner, method, parameters, request);
    if (reply.ok) {
      return Ok(reply.val);
    }
    const failure = reply.val;
    return failure.kind === 'refused'
      ? Err(failure.failure)
      : yield* resolveWithoutOwner(
          method,
          parameters,
          transaction,
          request,
          failure,
        );
  }

  function* serveForwarded(
    method: ForwardedMethod,
    parameters: TransactionFields,
    request: ActiveRequest,
  ): TransactionReply {
    const transaction = parseTransaction(parameters);
    return transaction === undefined
      ? Err(createFailure('TRANSACTION_UNKNOWN'))
      : yield* local.serve(method, parameters, transaction, request);
  }

  return {
    // The owner's answer is returned to the caller unchanged.
    serve: (method, parameters, request) =>
      route(method, parameters, request) as Task<Result<never, Failure>>,
    serveForwarded,
  };
}
