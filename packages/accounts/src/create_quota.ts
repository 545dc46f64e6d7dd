/**
 * Bounds what client accounts ask, over all proxies together. Each proxy lends its
 * part of all quotas to one keeper, and asks keepers for each operation: its own
 * first, then those elsewhere. The parts sum up to the whole, whoever reaches whom.
 */
import type {Method} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createSuspensionGuard,
  settledFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, type Result} from 'ts-results';

import {type Keepers, type QuotaPeer, chooseKeepers} from './choose_keepers';
import type {QuotaLimit} from './account_directory';
import {LOAN_TIME, createPartLease} from './part_lease';
import {
  type QuotaAnswer,
  type VersionedLimit,
  quotaCharge,
  quotaLend,
  quotaTake,
} from './quota_messages';
import {createQuotaPool} from './quota_pool';

/** What quotas are made of. */
export interface QuotaOptions {
  readonly runtime: Runtime;
  readonly self: QuotaPeer;
  /** Undefined for an account that may ask as much as it likes. */
  limitOf(account: string): VersionedLimit | undefined;
  /** True if any account has a limit; undefined while that isn't known. */
  hasLimits(): boolean | undefined;
  /** Operations beyond the limit that are allowed when all proxies start at once. */
  startAllowance(limit: QuotaLimit): number;
  /** Proxies that may be keepers, in the same order everywhere. */
  candidates(): readonly QuotaPeer[];
  /** Proxies that share all quotas; undefined while that isn't known. */
  fleetSize(): number | undefined;
  isUsable(peer: QuotaPeer): boolean;
  /** Asks another proxy. */
  request<P, R>(
    peer: QuotaPeer,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, unknown>>;
}

/** Bounds what accounts ask. */
export interface Quota {
  /** Counts one operation of an account if it may run. */
  take(account: string): Task<QuotaAnswer>;
  /** Counts attempts beyond the one that was granted. */
  charge(account: string, count: number): void;
  /** Serves other proxies. */
  serve(handlers: HandlerTable): void;
  /** Part of all quotas that this proxy counts now. */
  lentPart(): number;
}

/** How often a part is lent anew: some times in a loan's time. */
const LEND_PERIOD: Milliseconds = 500;
/** The same while it isn't lent: its quota is lost meanwhile. */
const FIRST_LEND_PERIOD: Milliseconds = 100;
const LEND_JITTER = 0.2;
/** Time for an answer: a round trip between regions, and a busy keeper. */
const REQUEST_TIMEOUT: Milliseconds = 150;
/** Given while no keeper answers: others are chosen by then. */
const UNANSWERED_RETRY_AFTER: Milliseconds = 300;
/**
 * A keeper without room is asked again about an account this soon: what it saves up
 * would be lost.
 */
const LONGEST_PAUSE: Milliseconds = 200;
const PROCESS_DIGITS = 12;

/** What a keeper without room for an account said. */
interface FullKeeper {
  /** It isn't asked before. */
  readonly until: Milliseconds;
  readonly retryAfter: Milliseconds;
}

const GRANTED: QuotaAnswer = {kind: 'granted'};

/** Starts to lend this proxy's part; nothing is sent while nobody has a limit. */
export function createQuota(options: QuotaOptions): Quota {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  let ownProcess = '';
  const pool = createQuotaPool({startAllowance: options.startAllowance});
  const lease = createPartLease();
  const suspension = createSuspensionGuard(timer);
  let hasLent = false;
  /** Keepers that had no room for an account, by both names. */
  const full = new Map<string, FullKeeper>();

  /** Drawn when it is first needed: without limits nothing is. */
  function process(): string {
    ownProcess ||= random.hexadecimal(PROCESS_DIGITS);
    return ownProcess;
  }

  function keepers(): Keepers {
    return chooseKeepers({
      self,
      candidates: options.candidates(),
      isUsable: options.isUsable,
    });
  }

  /** A suspended process has not seen its loans end. */
  function checkedPool() {
    if (suspension.hasSlept()) {
      pool.reset(timer.now());
    }
    return pool;
  }

  /** True if the part was lent; the first time a keeper only tells its clock. */
  function* lendTo(keeper: QuotaPeer, part: number): Task<boolean> {
    const offer = lease.offerTo(keeper.proxy, timer.now());
    if (offer === undefined) {
      return false;
    }
    const {reading} = offer;
    const message = {
      lender: self.proxy,
      part,
      ...(hasLent ? {} : {startOf: process()}),
      ...(reading === undefined ? {} : {reading}),
    };
    const reply = yield* waitFor(
      options.request(keeper, quotaLend, message, REQUEST_TIMEOUT),
    );
    if (reply.err) {
      return false;
    }
    lease.noteReading(keeper.proxy, reply.val.reading, timer.now());
    const isLent = reading?.process === reply.val.reading.process;
    hasLent ||= isLent;
    return isLent;
  }

  function lendToSelf(part: number): boolean {
    const now = timer.now();
    if (lease.offerTo(self.proxy, now) === undefined) {
      return false;
    }
    lease.noteReading(self.proxy, {process: process(), time: now}, now);
    lease.offerTo(self.proxy, now);
    const startOf = hasLent ? undefined : process();
    const until = now + LOAN_TIME;
    const loan = {lender: self.proxy, part, until, startOf};
    checkedPool().lend(loan, now);
    hasLent = true;
    return true;
  }

  function* lend(): Task<boolean> {
    const size = options.fleetSize();
    if (size === undefined) {
      return false;
    }
    const part = 1 / Math.max(1, size);
    const {home} = keepers();
    return home.proxy === self.proxy
      ? lendToSelf(part)
      : (yield* lendTo(home, part)) || (yield* lendTo(home, part));
  }

  function* keepLending(): Task<void> {
    yield* sleep(FIRST_LEND_PERIOD);
    for (;;) {
      const hasLimits = options.hasLimits();
      if (hasLimits) {
        const period = (yield* lend()) ? LEND_PERIOD : FIRST_LEND_PERIOD;
        yield* sleep(random.jitter(period, LEND_JITTER));
      } else {
        yield* sleep(hasLimits === false ? LEND_PERIOD : FIRST_LEND_PERIOD);
      }
    }
  }

  /** The newer configuration decides. */
  function newerLimit(asked: VersionedLimit): VersionedLimit {
    const own = options.limitOf(asked.account);
    return own !== undefined && own.version >= asked.version ? own : asked;
  }

  function takeHere(asked: VersionedLimit): QuotaAnswer {
    return checkedPool().take(newerLimit(asked), timer.now());
  }

  function* takeFrom(
    keeper: QuotaPeer,
    asked: VersionedLimit,
  ): Task<QuotaAnswer> {
    if (keeper.proxy === self.proxy) {
      return takeHere(asked);
    }
    const reply = yield* waitFor(
      options.request(keeper, quotaTake, asked, REQUEST_TIMEOUT),
    );
    return reply.ok
      ? reply.val
      : {kind: 'refused', retryAfter: UNANSWERED_RETRY_AFTER};
  }

  /** Callers that are refused without asking don't come back together. */
  function spread(retryAfter: Milliseconds): Milliseconds {
    return retryAfter * (1 + random.fraction());
  }

  /** Asks one keeper, unless it said when to come back. */
  function* tryKeeper(
    keeper: QuotaPeer,
    asked: VersionedLimit,
  ): Task<QuotaAnswer> {
    const key = `${keeper.proxy} ${asked.account}`;
    const known = full.get(key);
    if (known !== undefined && timer.now() < known.until) {
      return {kind: 'refused', retryAfter: spread(known.retryAfter)};
    }
    const answer = yield* takeFrom(keeper, asked);
    if (answer.kind === 'refused') {
      const pause = Math.min(answer.retryAfter, LONGEST_PAUSE);
      full.set(key, {until: timer.now() + pause, ...answer});
    } else {
      full.delete(key);
    }
    return answer;
  }

  function* take(account: string): Task<QuotaAnswer> {
    const asked = options.limitOf(account);
    if (asked === undefined) {
      return GRANTED;
    }
    const {home, others} = keepers();
    let retryAfter = Infinity;
    for (const keeper of [home, ...others]) {
      const answer = yield* tryKeeper(keeper, asked);
      if (answer.kind === 'granted') {
        return answer;
      }
      retryAfter = Math.min(retryAfter, answer.retryAfter);
    }
    return {kind: 'refused', retryAfter};
  }

  function chargeHere(asked: VersionedLimit, count: number): void {
    checkedPool().charge(newerLimit(asked), count, timer.now());
  }

  function charge(account: string, count: number): void {
    const asked = options.limitOf(account);
    if (asked === undefined || count <= 0) {
      return;
    }
    const {home} = keepers();
    if (home.proxy === self.proxy) {
      chargeHere(asked, count);
    } else {
      const message = {...asked, count};
      void options.request(home, quotaCharge, message, REQUEST_TIMEOUT);
    }
  }

  runtime.spawn('lend quota', keepLending());
  return {
    take,
    charge,
    serve(handlers) {
      handlers
        .handle(quotaLend, ({reading, ...loan}) => {
          const now = timer.now();
          if (reading?.process === process()) {
            const until = reading.time + LOAN_TIME;
            checkedPool().lend({...loan, until}, now);
          }
          return settledFuture(Ok({reading: {process: process(), time: now}}));
        })
        .handle(quotaTake, asked => settledFuture(Ok(takeHere(asked))))
        .handle(quotaCharge, asked => {
          chargeHere(asked, asked.count);
          return settledFuture(Ok({}));
        });
    },
    lentPart: () => checkedPool().lentPart(timer.now()),
  };
}
