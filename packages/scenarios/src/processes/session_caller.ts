/**
 * Caller of proxies that run as processes. It keeps the session token, retries
 * with the same idempotency key and uses another proxy for each attempt.
 */
import {createHttpClient} from '@kelpstep/cli';
import {
  CALLER_METHODS,
  ERRORS,
  Failure,
  IdempotencyKey,
  Method,
  Statement,
} from '@kelpstep/protocol';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'ts-results';

import {realClock} from './clock';

/** Sends requests of one session. */
export interface SessionCaller {
  /** Sends a request to one proxy without a retry. */
  sendOnce<P extends object, R>(
    address: string,
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<Result<R, Failure>>;
  /**
   * Sends a request until it is confirmed. Rejects after an error that cannot
   * be retried, or after a minute.
   */
  send<P extends object, R>(
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<R>;
  /** Appends to a list exactly once, with as many attempts as it takes. */
  append(list: string, entry: string): Promise<void>;
  /** Reads a list, including everything that this session wrote. */
  list(list: string): Promise<string[]>;
  /** Failures of all attempts so far. */
  failures(): readonly Failure[];
}

/** Options of `createSessionCaller`. */
export interface SessionCallerOptions {
  readonly group: string;
  /** Caller addresses of the proxies that the load balancer offers. */
  proxies(): readonly string[];
  /** Time for one attempt, milliseconds. */
  readonly attemptTime?: number | undefined;
}

const DEFAULT_ATTEMPT_TIME_MS = 3000;
/** Extends the timeout, so that an answer at the deadline still arrives. */
const ANSWER_MARGIN_MS = 500;
const RETRY_BACKOFF_MS = 20;
/** Longer than a stopping proxy refuses requests before it closes its port. */
const AVOIDANCE_TIME_MS = 2000;
const SEND_TIMEOUT_MS = 60_000;

/** Creates a unique idempotency key. */
export function newKey(): IdempotencyKey {
  return {id: randomUUID(), issuedAt: realClock.wallClock()};
}

/** Creates the statement that appends an entry to a list. */
export function appendStatement(list: string, entry: string): Statement {
  return {text: 'append ? ?', parameters: [list, entry]};
}

/**
 * True if a new attempt may succeed. `DEADLINE_PASSED` is final for a request,
 * but each attempt has a deadline of its own: a proxy that was frozen answers
 * so when it thaws. Before the deadline, the answer is an error of the proxy.
 */
function isRetryable(failure: Failure, deadline: number): boolean {
  return failure.name === 'DEADLINE_PASSED'
    ? realClock.wallClock() >= deadline
    : ERRORS[failure.name].retryable || failure.outcome === 'unknown';
}

/** Creates a caller with a new session. */
export function createSessionCaller(
  options: SessionCallerOptions,
): SessionCaller {
  const attemptTime = options.attemptTime ?? DEFAULT_ATTEMPT_TIME_MS;
  const failures: Failure[] = [];
  const avoidedUntil = new Map<string, number>();
  let token = '';
  let nextIndex = 0;

  async function attempt<P extends object, R>(
    address: string,
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
    deadline: number,
  ): Promise<Result<R, Failure>> {
    const timeout = attemptTime + ANSWER_MARGIN_MS;
    const fullParameters = {
      ...parameters,
      group: options.group,
      token,
      deadline,
    } as unknown as P;
    const reply = await createHttpClient({address, timeout}).request(
      method,
      fullParameters,
    );
    if (reply.ok) {
      const answer = reply.val as {token?: string};
      token = answer.token ?? token;
    } else {
      failures.push(reply.val);
      avoidStoppingProxy(address, reply.val);
    }
    return reply;
  }

  function nextDeadline(): number {
    return realClock.wallClock() + attemptTime;
  }

  /** Skips a proxy for a time after it answered that it is stopping. */
  function avoidStoppingProxy(address: string, {name}: Failure): void {
    if (name === 'STOPPING') {
      avoidedUntil.set(address, realClock.now() + AVOIDANCE_TIME_MS);
    }
  }

  function nextProxy(): string | undefined {
    const now = realClock.now();
    const proxies = options
      .proxies()
      .filter(address => now >= (avoidedUntil.get(address) ?? 0));
    return proxies[nextIndex++ % proxies.length];
  }

  async function send<P extends object, R>(
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<R> {
    const giveUpAt = realClock.now() + SEND_TIMEOUT_MS;
    let lastFailure = 'no proxy';
    while (realClock.now() < giveUpAt) {
      const address = nextProxy();
      if (address !== undefined) {
        const deadline = nextDeadline();
        const reply = await attempt(address, method, parameters, deadline);
        if (reply.ok) {
          return reply.val;
        }
        lastFailure = `${reply.val.name} ${reply.val.message}`;
        if (!isRetryable(reply.val, deadline)) {
          break;
        }
      }
      await sleep(RETRY_BACKOFF_MS);
    }
    throw new Error(`Request ${method.name} failed: ${lastFailure}`);
  }

  async function append(list: string, entry: string): Promise<void> {
    const statement = appendStatement(list, entry);
    await send(CALLER_METHODS.write, {statement, key: newKey()});
  }

  async function list(name: string): Promise<string[]> {
    const statement = {text: 'list ?', parameters: [name]};
    const {rows} = await send(CALLER_METHODS.read, {statement});
    return rows.map(row => String(row[0]));
  }

  return {
    sendOnce: (address, method, parameters) =>
      attempt(address, method, parameters, nextDeadline()),
    send,
    append,
    list,
    failures: () => failures,
  };
}
