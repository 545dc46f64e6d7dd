/**
 * Enforces the quotas of client accounts over all proxies together. Each proxy
 * leases its share of all quotas to one quota coordinator, and requests each
 * operation from the coordinators: first from its own, then from the others.
 * The shares add up to the whole quota, also during network partitions.
 */
import type {Method} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {
  type QuotaCoordinators,
  type QuotaPeer,
  chooseCoordinators,
} from './choose_coordinators';
import type {QuotaLimit} from './account_directory';
import {createExhaustedCoordinators} from './exhausted_coordinators';
import {keepRenewingLease} from './lease_renewal';
import {
  type GrantReading,
  type QuotaOutcome,
  createQuotaCoordinator,
} from './quota_coordinator';
import {
  type QuotaAnswer,
  type VersionedLimit,
  quotaCharge,
  quotaReturn,
  quotaTake,
} from './quota_messages';
import {MAXIMUM_RETRY_AFTER_MS} from './quota_pool';

/**
 * What quotas need from the proxy: limits, the list of proxies and requests.
 */
export interface QuotaOptions {
  readonly runtime: Runtime;
  readonly self: QuotaPeer;
  /** The current limit of an account; undefined if the account is unlimited. */
  limitOf(account: string): VersionedLimit | undefined;
  /** True if any account has a limit; undefined while this is unknown. */
  hasLimits(): boolean | undefined;
  /**
   * Operations allowed beyond an account's limit if all proxies start at once.
   */
  startAllowance(limit: QuotaLimit): number;
  /** Proxies that may be coordinators, in the same order on all proxies. */
  candidates(): readonly QuotaPeer[];
  /** Number of proxies that share all quotas; undefined while it is unknown. */
  proxyCount(): number | undefined;
  isUsable(peer: QuotaPeer): boolean;
  /**
   * Sends a request to another proxy; fails if it is unanswered after
   * `timeout`.
   */
  request<P, R>(
    peer: QuotaPeer,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, unknown>>;
  /** Called for each answer of this proxy as a coordinator. */
  onAnswer?(priority: number, outcome: QuotaOutcome): void;
}

/** A granted operation, with what is needed to return it. */
export interface QuotaGrant {
  readonly kind: 'granted';
  readonly account: string;
  /** Undefined if the operation can't be returned. */
  readonly origin: GrantOrigin | undefined;
}

interface GrantOrigin {
  readonly coordinator: QuotaPeer;
  readonly limit: VersionedLimit;
  /** Priority, and the coordinator's clock when it granted the operation. */
  readonly grant: GrantReading;
}

type QuotaRefusal = Extract<QuotaAnswer, {kind: 'refused'}>;

/**
 * Grants or refuses operations so that all proxies together keep the quotas.
 */
export interface Quota {
  /**
   * Requests one operation of an account, which is counted if granted. An
   * account without a limit is always granted. Priority 0 is the highest.
   */
  take(account: string, priority: number): Task<QuotaGrant | QuotaRefusal>;
  /**
   * Settles a granted operation after it ended: returns it if no attempt may
   * have run, and counts the runs beyond the first.
   */
  settle(grant: QuotaGrant, runs: number): void;
  /** Registers the handlers for requests of other proxies. */
  serve(handlers: HandlerTable): void;
  /** Sum of the shares of all quotas leased to this proxy now, from 0 to 1. */
  leasedShare(): number;
}

/**
 * Timeout of a request: a round trip between regions and the delay of a busy
 * coordinator.
 */
const REQUEST_TIMEOUT_MS: Milliseconds = 150;
/**
 * Retry delay given to a caller if the coordinator doesn't answer: another one
 * is chosen within this time.
 */
const UNANSWERED_RETRY_AFTER_MS: Milliseconds = 300;
const PROCESS_ID_LENGTH = 12;

/**
 * Starts leasing this proxy's share; sends nothing while no account has a
 * limit.
 */
export function createQuota(options: QuotaOptions): Quota {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  let knownProcessId = '';
  const exhausted = createExhaustedCoordinators();
  const local = createQuotaCoordinator({
    timer,
    processId,
    limitOf: options.limitOf,
    startAllowance: options.startAllowance,
    onAnswer: options.onAnswer ?? (() => {}),
  });

  /**
   * Creates the id on first use, so that nothing is drawn at random without
   * limits.
   */
  function processId(): string {
    knownProcessId ||= random.hexadecimal(PROCESS_ID_LENGTH);
    return knownProcessId;
  }

  function coordinators(): QuotaCoordinators {
    return chooseCoordinators({
      self,
      candidates: options.candidates(),
      isUsable: options.isUsable,
    });
  }

  /** Undefined if the coordinator doesn't answer. */
  function* takeFrom(
    coordinator: QuotaPeer,
    requested: VersionedLimit,
    priority: number,
  ): Task<QuotaAnswer | undefined> {
    if (coordinator.proxy === self.proxy) {
      return local.take(requested, priority);
    }
    const message = {...requested, priority};
    const reply = yield* waitFor(
      options.request(coordinator, quotaTake, message, REQUEST_TIMEOUT_MS),
    );
    return reply.ok ? reply.val : undefined;
  }

  /**
   * Returns the delay varied at random between once and twice its length, so
   * that callers refused without a request don't retry together. Long delays
   * are varied below the longest one.
   */
  function addJitter(retryAfter: Milliseconds): Milliseconds {
    const base = Math.min(retryAfter, MAXIMUM_RETRY_AFTER_MS / 2);
    return base * (1 + random.fraction());
  }

  /**
   * Requests an operation from one coordinator; refuses it without a request
   * while the coordinator is in backoff for the account and priority.
   */
  function* tryCoordinator(
    coordinator: QuotaPeer,
    limit: VersionedLimit,
    priority: number,
  ): Task<QuotaGrant | QuotaRefusal> {
    const {account} = limit;
    const request = {coordinator: coordinator.proxy, account, priority};
    const known = exhausted.refusalOf(request, timer.now());
    if (known !== undefined) {
      return {kind: 'refused', retryAfter: addJitter(known)};
    }
    const answer = yield* takeFrom(coordinator, limit, priority);
    if (answer?.kind === 'granted') {
      exhausted.recordGrant(request);
      const {process, time} = answer;
      const isReturnable = process !== undefined && time !== undefined;
      const origin = isReturnable
        ? {coordinator, limit, grant: {process, time, priority}}
        : undefined;
      return {kind: 'granted', account, origin};
    }
    const retryAfter = answer?.retryAfter ?? UNANSWERED_RETRY_AFTER_MS;
    // A coordinator that doesn't answer has nothing for any priority.
    const refused = answer === undefined ? {...request, priority: 0} : request;
    exhausted.recordRefusal(refused, limit, retryAfter, timer.now());
    return {kind: 'refused', retryAfter};
  }

  function* take(
    account: string,
    routePriority: number,
  ): Task<QuotaGrant | QuotaRefusal> {
    const requested = options.limitOf(account);
    if (requested === undefined) {
      return {kind: 'granted', account, origin: undefined};
    }
    const priority = Math.max(0, Math.floor(routePriority));
    const {home, others} = coordinators();
    let retryAfter = Infinity;
    for (const coordinator of [home, ...others]) {
      const answer = yield* tryCoordinator(coordinator, requested, priority);
      if (answer.kind === 'granted') {
        return answer;
      }
      retryAfter = Math.min(retryAfter, answer.retryAfter);
    }
    return {kind: 'refused', retryAfter};
  }

  /** Sent once: a repeated return could be counted twice. */
  function giveBack({coordinator, limit, grant}: GrantOrigin): void {
    if (coordinator.proxy === self.proxy) {
      local.giveBack(limit, 1, grant);
    } else {
      const message = {...limit, ...grant, count: 1};
      void options.request(
        coordinator,
        quotaReturn,
        message,
        REQUEST_TIMEOUT_MS,
      );
    }
  }

  function charge(account: string, count: number): void {
    const limit = options.limitOf(account);
    if (limit === undefined || count <= 0) {
      return;
    }
    const {home} = coordinators();
    if (home.proxy === self.proxy) {
      local.charge(limit, count);
    } else {
      const message = {...limit, count};
      void options.request(home, quotaCharge, message, REQUEST_TIMEOUT_MS);
    }
  }

  function settle({account, origin}: QuotaGrant, runs: number): void {
    if (runs > 0) {
      charge(account, runs - 1);
    } else if (origin !== undefined) {
      giveBack(origin);
    }
  }

  const renewal = keepRenewingLease({
    runtime,
    self,
    local,
    processId,
    home: () => coordinators().home,
    hasLimits: options.hasLimits,
    proxyCount: options.proxyCount,
    request: (peer, method, parameters) =>
      options.request(peer, method, parameters, REQUEST_TIMEOUT_MS),
  });
  runtime.spawn('lend quota', renewal);
  return {
    take,
    settle,
    serve: local.serve,
    leasedShare: local.leasedShare,
  };
}
