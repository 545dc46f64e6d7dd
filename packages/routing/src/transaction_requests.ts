/** Requests of transactions: which proxy serves them. */
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
  NamedTransaction,
  TransactionParameters,
  TransactionReply,
  TransactionResult,
} from './local_transactions';
import type {ForwardedMethod, RequestServiceOptions} from './service_types';

/** Serves requests of transactions. */
export interface TransactionRequests {
  /** From a caller: goes to the owner if that is another proxy. */
  serve<M extends ForwardedMethod>(
    method: M,
    parameters: TransactionParameters<M>,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<M>, Failure>>;
  /** From another proxy: is served here or not at all. */
  serveForwarded(
    method: ForwardedMethod,
    parameters: TransactionFields,
    request: ActiveRequest,
  ): TransactionReply;
}

/** What the parameters of all methods of transactions have. */
export interface TransactionFields {
  readonly group: string;
  readonly transaction?: string | undefined;
  readonly key?: IdempotencyKey | undefined;
  readonly accountKey?: string | undefined;
}

/** Part of the time that a commit's owner gets; the rest is for settling. */
const FORWARDED_COMMIT_SHARE = 0.6;

/** Creates the service of transactions' requests. */
export function createTransactionRequests(
  service: RequestServiceOptions,
  local: LocalTransactions,
): TransactionRequests {
  const {self, runtime} = service;
  const {timer} = runtime;

  function nameOf(parameters: TransactionFields): NamedTransaction | undefined {
    const id = parameters.transaction ?? '';
    const name = parseTransactionId(id);
    return name === undefined || name.group !== parameters.group
      ? undefined
      : {id, name};
  }

  /** Another proxy that holds the transaction; undefined: this or none. */
  function findOwner({name}: NamedTransaction): ProxyIdentity | undefined {
    const {proxy, incarnation} = name;
    const isHere = proxy === self.proxy && incarnation === self.incarnation;
    return isHere ? undefined : service.findProxy(proxy, incarnation);
  }

  /** The caller's key stays here: it was checked. */
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

  /** The owner gave no answer: a commit can be settled without it. */
  function* concludeLost(
    method: ForwardedMethod,
    parameters: TransactionFields,
    transaction: NamedTransaction,
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
    const transaction = nameOf(parameters);
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
      : yield* concludeLost(method, parameters, transaction, request, failure);
  }

  function* serveForwarded(
    method: ForwardedMethod,
    parameters: TransactionFields,
    request: ActiveRequest,
  ): TransactionReply {
    const transaction = nameOf(parameters);
    return transaction === undefined
      ? Err(createFailure('TRANSACTION_UNKNOWN'))
      : yield* local.serve(method, parameters, transaction, request);
  }

  return {
    // The owner's answer is the caller's as it stands.
    serve: (method, parameters, request) =>
      route(method, parameters, request) as Task<Result<never, Failure>>,
    serveForwarded,
  };
}
