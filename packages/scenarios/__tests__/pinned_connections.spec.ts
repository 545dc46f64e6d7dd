import type {CallerMessage} from '@kelpstep/gateway';
import {createMailbox} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAccounts} from '../src/statements/statement_accounts';
import {GROUP} from '../src/statements/statement_routes';
import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const SEEDS = [1, 2, 3];
/** Former owners have closed their connections. */
const WARM_UP_MS = 8000;
const LOAD_TIME_MS = 4000;
const SECOND_MS = 1000;
const DURATION_MS = WARM_UP_MS + 2 * SECOND_MS + LOAD_TIME_MS;
/** Connections of an owner to a target, besides the one for control. */
const CONNECTIONS_PER_OWNER = 3;
/** Statements that can't be served must be refused much sooner than this. */
const HELD_MS = 500;
/**
 * The relay's heartbeat interval and timeout, after which an unresponsive owner
 * is given up, and the time to run the statement at another one.
 */
const RELAY_TIMEOUT_MS = 250 + 600 + 100;

/** Four owners; callers use accounts, which can't use control connections. */
function createFleet(seed: number): StatementSimulation {
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION_MS,
    proxies: 15,
    sessions: 9,
    connectionLimit: 20,
    accounts: createAccounts(12, undefined),
  });
  simulation.timer.advance(WARM_UP_MS);
  simulation.configure({transactionIdle: 60_000});
  simulation.timer.advance(SECOND_MS);
  return simulation;
}

function ownersIn({proxies, gateway}: StatementSimulation): string[] {
  return proxies.filter(proxy => gateway(proxy)?.group(GROUP) !== undefined);
}

/** Opens transactions at an owner that hold its connections to the primary. */
function restInTransactions(
  {gateway, timer}: StatementSimulation,
  owner: string,
): void {
  for (let number = 1; number <= CONNECTIONS_PER_OWNER; number++) {
    const messages = createMailbox<CallerMessage>();
    const statement = {kind: 'begin', readOnly: false} as const;
    gateway(owner)?.serve({
      database: 'entries',
      keyDigest: `digest-${number}`,
      messages,
      isClosed: () => false,
      answer: () => {},
      close: () => {},
    });
    messages.post({kind: 'request', request: {id: 'b', statement}});
    timer.advance(50);
  }
}

/** Runs callers beside the transactions and counts their operations. */
function measure(simulation: StatementSimulation) {
  const {timer, counts, checker} = simulation;
  timer.advance(SECOND_MS);
  const from = timer.now();
  timer.advance(DURATION_MS - from);
  const {started, served} = counts.countsSince(from);
  const refusals = counts.refusalDurationsBetween(from, DURATION_MS);
  const held = refusals.filter(time => time > HELD_MS).length;
  simulation.finish();
  const share = served / started;
  return {share, refusals, held, broken: checker.broken()};
}

describe('callers that are idle in open transactions', () => {
  test('do not keep statements from owners with free connections', () => {
    for (const seed of SEEDS) {
      const simulation = createFleet(seed);
      const [first = '', second = ''] = ownersIn(simulation);
      restInTransactions(simulation, first);
      restInTransactions(simulation, second);
      const {share, held, broken} = measure(simulation);
      const isServed = share > 0.97;
      expect({seed, broken, held, isServed}).toEqual({
        seed,
        broken: [],
        held: 0,
        isServed: true,
      });
    }
  });

  test('leave no statement waiting that no owner can start', () => {
    for (const seed of SEEDS) {
      const simulation = createFleet(seed);
      // Some begins find the connections taken by other callers at first.
      for (let round = 0; round < 4; round++) {
        ownersIn(simulation).forEach(owner =>
          restInTransactions(simulation, owner),
        );
      }
      const {refusals, held, broken} = measure(simulation);
      const isRefusing = refusals.length > 10;
      expect({seed, broken, held, isRefusing}).toEqual({
        seed,
        broken: [],
        held: 0,
        isRefusing: true,
      });
    }
  });

  test('do not attract statements to an owner that froze with a report', () => {
    for (const seed of SEEDS) {
      const simulation = createFleet(seed);
      const [first = '', second = ''] = ownersIn(simulation);
      restInTransactions(simulation, first);
      restInTransactions(simulation, second);
      const frozenAt = simulation.timer.now();
      simulation.relays.freezeHost(simulation.hostOf(second));
      const {share, held, broken} = measure(simulation);
      const times = simulation.counts.statementDurationsSince(frozenAt);
      const isBlocked = Math.max(...times) > RELAY_TIMEOUT_MS;
      const isServed = share > 0.97;
      expect({seed, broken, held, isBlocked, isServed}).toEqual({
        seed,
        broken: [],
        held: 0,
        isBlocked: false,
        isServed: true,
      });
    }
  });
});
