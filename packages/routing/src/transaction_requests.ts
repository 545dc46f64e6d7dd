/** Requests of transactions: here, at their owner, or once it is gone. */
import {
  Failure,
  IdempotencyKey,
  LogPosition,
  Method,
  ParametersOf,
  ProxyIdentity,
  ResultOf,
  callerCommit,
  callerRead,
  callerRollback,
  callerWrite,
  createFailure,
} from '@kelpstep/protocol';
import {
  TransactionAnswer,
  TransactionName,
  TransactionTable,
  checkKeyAge,
  commitKeyOf,
  parseTransactionId,
  remainingTime,
  resolveCommit,
} from '@kelpstep/request-ledger';
import type {RequestFailure} from '@kelpstep/rpc';
import {Task, waitFor} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ActiveRequest, seenBy, tokenAfter} from './active_request';
import type {RequestLimits} from './limits';
import type {ForwardedMethod, RequestServiceOptions} from './service_types';

/** Parameters and results of the methods that transactions use. */
interface TransactionMethods {
  read: typeof callerRead;
  write: typeof callerWrite;
  commit: typeof callerCommit;
  rollback: typeof callerRollback;
}

/** Parameters of a method of transactions. */
export type TransactionParameters<M extends ForwardedMethod> = ParametersOf<
  TransactionMethods[M]
>;

/** Result of a method of transactions. */
export type TransactionResult<M extends ForwardedMethod> = ResultOf<
  TransactionMethods[M]
>;

/** Serves requests of transactions. */
export interface TransactionRequests {
  /** From a caller: goes to the owner if that is another proxy. */
  serve<M extends ForwardedMethod>(
    method: M,
    parameters: TransactionParameters<M>,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<M>, Failure>>;
  /** From another proxy: is served here or not at all. */
  serveForwarded<M extends ForwardedMethod>(
    method: M,
    parameters: TransactionParameters<M>,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<M>, Failure>>;
}

/** What the requests of transactions need. */
export interface TransactionRequestsOptions {
  readonly service: RequestServiceOptions;
  readonly limits: RequestLimits;
  readonly transactions: TransactionTable;
}

/** Part of the time that a commit's owner gets; the rest is for settling. */
const FORWARDED_COMMIT_SHARE = 0.6;

type Served = Task<Result<unknown, Failure>>;

/** Creates the service of transactions' requests. */
export function createTransactionRequests(
  options: TransactionRequestsOptions,
): TransactionRequests {
  const {service, limits, transactions} = options;
  const {self, runtime} = service;
  const {timer} = runtime;

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
      seen: seenBy(request),
    });
    if (answer.err) {
      return answer;
    }
    const {execution, target} = answer.val;
    const age = ageOf(answer.val, record);
    context.notes.age = age;
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

  function ageOf(
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
      seen: seenBy(request),
    });
    return answer.map(({execution}) => ({
      rows: execution.rows,
      token: tokenAfter(request, execution.at),
      duplicate: false,
    }));
  }

  function* commit(
    parameters: TransactionParameters<'commit'>,
    id: string,
    name: TransactionName,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'commit'>, Failure>> {
    const derived = commitKeyOf(id, name);
    const key = parameters.key ?? derived;
    const fault = checkAge(key, request);
    if (fault !== undefined) {
      return Err(fault);
    }
    if (!transactions.has(id)) {
      return yield* resolve(key, derived, request);
    }
    const committed = yield* transactions.commit(request.context, id, key);
    return committed.map(({at, duplicate}) => ({
      token: tokenAfter(request, at),
      duplicate,
    }));
  }

  function checkAge(
    key: IdempotencyKey,
    {checked}: ActiveRequest,
  ): Failure | undefined {
    return checkKeyAge(key, timer.wallClock(), {
      retention: checked.manifest.keyRetention,
      expiryMargin: limits.keyExpiryMargin,
      clockTolerance: limits.clockTolerance,
    });
  }

  /** A commit whose transaction nobody holds any more. */
  function* resolve(
    key: IdempotencyKey,
    derived: IdempotencyKey,
    request: ActiveRequest,
  ): Task<Result<TransactionResult<'commit'>, Failure>> {
    // An earlier commit may have come without the key that this one has.
    const keys = key === derived ? [key] : [key, derived];
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

  /** Serves a request of a transaction that is here, or nowhere. */
  function serveHere(
    method: ForwardedMethod,
    parameters: unknown,
    id: string,
    name: TransactionName,
    request: ActiveRequest,
  ): Served {
    switch (method) {
      case 'read':
        return read(parameters as TransactionParameters<'read'>, id, request);
      case 'write':
        return write(parameters as TransactionParameters<'write'>, id, request);
      case 'commit':
        return commit(
          parameters as TransactionParameters<'commit'>,
          id,
          name,
          request,
        );
      case 'rollback':
        return rollback(id, request);
    }
  }

  function* forward(
    owner: ProxyIdentity,
    method: ForwardedMethod,
    parameters: object,
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

  /** The owner gave no answer. */
  function* concludeLostForward(
    method: ForwardedMethod,
    parameters: {readonly key?: IdempotencyKey | undefined},
    id: string,
    name: TransactionName,
    request: ActiveRequest,
    failure: RequestFailure,
  ): Served {
    if (method === 'commit') {
      const derived = commitKeyOf(id, name);
      return yield* resolve(parameters.key ?? derived, derived, request);
    }
    const message = `No answer from the transaction's proxy ${name.proxy}.`;
    const isUnknown = method === 'write' && failure.sent;
    return Err(
      createFailure(isUnknown ? 'OUTCOME_UNKNOWN' : 'TIMED_OUT', {message}),
    );
  }

  function* route(
    method: ForwardedMethod,
    parameters: {
      readonly group: string;
      readonly transaction?: string | undefined;
      readonly key?: IdempotencyKey | undefined;
    },
    request: ActiveRequest,
    mayForward: boolean,
  ): Served {
    const id = parameters.transaction ?? '';
    const name = parseTransactionId(id);
    if (name === undefined || name.group !== parameters.group) {
      return Err(createFailure('TRANSACTION_UNKNOWN'));
    }
    const isHere =
      name.proxy === self.proxy && name.incarnation === self.incarnation;
    const owner =
      isHere || !mayForward
        ? undefined
        : service.findProxy(name.proxy, name.incarnation);
    if (owner === undefined) {
      return yield* serveHere(method, parameters, id, name, request);
    }
    const reply = yield* forward(owner, method, parameters, request);
    if (reply.ok) {
      return Ok(reply.val);
    }
    if (reply.val.kind === 'refused') {
      return Err(reply.val.failure);
    }
    return yield* concludeLostForward(
      method,
      parameters,
      id,
      name,
      request,
      reply.val,
    );
  }

  return {
    serve: (method, parameters, request) =>
      route(method, parameters, request, true) as Task<Result<never, Failure>>,
    serveForwarded: (method, parameters, request) =>
      route(method, parameters, request, false) as Task<Result<never, Failure>>,
  };
}

/** A method of transactions with its parameters. */
export type TransactionMethod<M extends ForwardedMethod> = Method<
  TransactionParameters<M>,
  TransactionResult<M>
>;
