import type {CallerMessage, GatewayConfiguration} from '@kelpstep/gateway';
import {type Milliseconds, createMailbox} from '@kelpstep/runtime';
import type {
  SessionStatement,
  StatementAnswer,
  TransactionState,
} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAccounts} from '../src/statements/statement_accounts';
import {GROUP, ROUTES} from '../src/statements/statement_routes';
import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

/** Owners are known, and other proxies have released their connections. */
const SETTLING_TIME_MS: Milliseconds = 8000;
const ANSWER_TIME_MS: Milliseconds = 700;
const ACCOUNTS = createAccounts(6, undefined);
/** Callers have no keys: their routes stay public when there are accounts. */
const PUBLIC_ROUTES = ROUTES.map(route => ({...route, isPublic: true}));
/** Four owners without accounts, three with them: one per data centre. */
const OPTIONS = {
  duration: 10_000,
  proxies: 15,
  sessions: 8,
  connectionLimit: 20,
} as const;
/** Reads for longer than a group without use is kept. */
const READ_COUNT = 10;
const KEPT_STATES = [
  ...Array.from({length: READ_COUNT + 1}, () => 'open' as const),
  'idle' as const,
];
const SEEDS = [1, 2, 3];

/** Proxies with connections, which former owners keep for some seconds. */
function proxiesWithConnections(simulation: StatementSimulation): string[] {
  return simulation.proxies.filter(
    proxy => simulation.gateway(proxy)?.group(GROUP) !== undefined,
  );
}

/** Opens a session with an account's key, whose requests are checked too. */
function openSession(
  {gateway, checker, timer}: StatementSimulation,
  proxy: string,
  account: string | undefined,
) {
  const messages = createMailbox<CallerMessage>();
  const answers: StatementAnswer[] = [];
  const since = timer.now();
  let sent = 0;
  gateway(proxy)?.serve({
    database: 'entries',
    keyDigest: ACCOUNTS[0]?.keyDigests[0] ?? '',
    messages,
    isClosed: () => false,
    answer: answer => answers.push(answer),
    close: () => {},
  });
  return (statement: SessionStatement): TransactionState | undefined => {
    const id = `own-${sent++}`;
    checker.onSent({
      id,
      account,
      session: 0,
      kind: statement.kind === 'commit' ? 'commit' : 'read',
      freshness: 'primary',
      maximumStaleness: 0,
      since,
      values: new Map(),
      shape: undefined,
      transaction: 0,
      writes: [],
    });
    messages.post({kind: 'request', request: {id, statement}});
    timer.advance(ANSWER_TIME_MS);
    return answers.pop()?.state;
  };
}

/** Runs a transaction with the key of an account while `change` applies. */
function runTransaction(
  simulation: StatementSimulation,
  proxy: string,
  account: string | undefined,
  change: () => void,
): Array<TransactionState | undefined> {
  const send = openSession(simulation, proxy, account);
  const states = [send({kind: 'begin', readOnly: true})];
  change();
  for (let count = 0; count < READ_COUNT; count++) {
    states.push(send({kind: 'read', item: 'a'}));
  }
  states.push(send({kind: 'commit'}));
  return states;
}

describe('a change of the connection owners by the configuration', () => {
  // Guards against a former owner that closes the connection of a transaction
  // which is busy for longer than an idle one may last.
  test('keeps transactions that run at a former owner', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...OPTIONS, seed});
      const configureAndSettle = (change: Partial<GatewayConfiguration>) => {
        simulation.configure(change);
        simulation.timer.advance(SETTLING_TIME_MS);
        return proxiesWithConnections(simulation);
      };
      const bounded = configureAndSettle({
        accounts: ACCOUNTS,
        routes: PUBLIC_ROUTES,
      });
      const unbounded = configureAndSettle({accounts: undefined});
      expect([bounded.length, unbounded.length]).toEqual([3, 4]);
      const [former = ''] = unbounded.filter(each => !bounded.includes(each));
      const states = runTransaction(simulation, former, undefined, () =>
        simulation.configure({accounts: ACCOUNTS}),
      );
      simulation.timer.advance(SETTLING_TIME_MS);
      const isReleased = !proxiesWithConnections(simulation).includes(former);
      simulation.finish();
      const broken = simulation.checker.broken();
      expect({seed, states, isReleased, broken}).toEqual({
        seed,
        states: KEPT_STATES,
        isReleased: true,
        broken: [],
      });
    }
  });

  // Guards against a rollback because no account has the caller's key any more,
  // although no caller needs one.
  test('keeps transactions of an account when accounts are removed', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...OPTIONS, seed});
      simulation.configure({accounts: ACCOUNTS, routes: PUBLIC_ROUTES});
      simulation.timer.advance(SETTLING_TIME_MS);
      const [owner = ''] = proxiesWithConnections(simulation);
      const states = runTransaction(simulation, owner, ACCOUNTS[0]?.name, () =>
        simulation.configure({accounts: undefined}),
      );
      expect({seed, states}).toEqual({seed, states: KEPT_STATES});
      simulation.finish();
      expect(simulation.checker.broken()).toEqual([]);
    }
  });
});
