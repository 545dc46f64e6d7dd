/**
 * A caller of proxies that run as processes: it keeps its session's token,
 * sends again with the same key and goes to another proxy each time.
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
  /** Sends one request to one proxy, once. */
  sendOnce<P extends object, R>(
    address: string,
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<Result<R, Failure>>;
  /** Sends a request until it is confirmed; rejects if it has no chance. */
  send<P extends object, R>(
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<R>;
  /** Appends to a list, once however often it has to be sent. */
  append(list: string, entry: string): Promise<void>;
  /** Reads a list, with all that this session wrote. */
  list(list: string): Promise<string[]>;
  /** Failures met so far. */
  failures(): readonly Failure[];
}

/** What a caller is made of. */
export interface SessionCallerOptions {
  readonly group: string;
  /** Callers' addresses of the proxies that the balancer offers. */
  proxies(): readonly string[];
  /** Time for one attempt, milliseconds. */
  readonly attemptTime?: number | undefined;
}

const DEFAULT_ATTEMPT_TIME = 3000;
/** The proxy's own answer at the deadline is better than a lost one. */
const ANSWER_MARGIN = 500;
const RETRY_PAUSE = 20;
/** Longer than a proxy goes on refusing before its port closes. */
const AVOIDANCE_TIME = 2000;
const LONGEST_PERSISTENCE = 60_000;

/** A key that nobody else has. */
export function newKey(): IdempotencyKey {
  return {id: randomUUID(), issuedAt: realClock.wallClock()};
}

/** The statement that appends to a list. */
export function appendStatement(list: string, entry: string): Statement {
  return {text: 'append ? ?', parameters: [list, entry]};
}

function mayBeSentAgain(failure: Failure): boolean {
  return ERRORS[failure.name].retryable || failure.outcome === 'unknown';
}

/** Creates the caller of a new session. */
export function createSessionCaller(
  options: SessionCallerOptions,
): SessionCaller {
  const attemptTime = options.attemptTime ?? DEFAULT_ATTEMPT_TIME;
  const failures: Failure[] = [];
  const avoidedUntil = new Map<string, number>();
  let token = '';
  let turn = 0;

  async function sendOnce<P extends object, R>(
    address: string,
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<Result<R, Failure>> {
    const timeout = attemptTime + ANSWER_MARGIN;
    const full = {
      ...parameters,
      group: options.group,
      token,
      deadline: realClock.wallClock() + attemptTime,
    } as unknown as P;
    const reply = await createHttpClient({address, timeout}).request(
      method,
      full,
    );
    if (reply.ok) {
      const answer = reply.val as {token?: string};
      token = answer.token ?? token;
    } else {
      failures.push(reply.val);
      noteRefusal(address, reply.val);
    }
    return reply;
  }

  /** A proxy that stops asks its callers to use another. */
  function noteRefusal(address: string, {name}: Failure): void {
    if (name === 'STOPPING') {
      avoidedUntil.set(address, realClock.now() + AVOIDANCE_TIME);
    }
  }

  function nextProxy(): string | undefined {
    const now = realClock.now();
    const proxies = options
      .proxies()
      .filter(address => now >= (avoidedUntil.get(address) ?? 0));
    return proxies[turn++ % proxies.length];
  }

  async function send<P extends object, R>(
    method: Method<P, R>,
    parameters: Omit<P, 'group' | 'token' | 'deadline'>,
  ): Promise<R> {
    const end = realClock.now() + LONGEST_PERSISTENCE;
    let last = 'no proxy';
    while (realClock.now() < end) {
      const address = nextProxy();
      if (address !== undefined) {
        const reply = await sendOnce(address, method, parameters);
        if (reply.ok) {
          return reply.val;
        }
        last = `${reply.val.name} ${reply.val.message}`;
        if (!mayBeSentAgain(reply.val)) {
          break;
        }
      }
      await sleep(RETRY_PAUSE);
    }
    throw new Error(`${method.name}: ${last}`);
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

  return {sendOnce, send, append, list, failures: () => failures};
}
