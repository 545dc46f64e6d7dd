import type {QuotaLimit} from '@kelpstep/accounts';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAccounts} from '../src/statements/statement_accounts';
import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION_MS = 14_000;
/** Proxies have discovered each other and hold leases on quota shares. */
const WARM_UP_MS = 6000;
const FAULT_MS = 2000;
const MEASURED_MS = 2000;
const SECOND_MS = 1000;
const SEEDS = [1, 2, 3];
const QUOTA: QuotaLimit = {rate: 12, burst: 12};
const ACCOUNT = 'account-1';
const RATE_OPERATIONS = (QUOTA.rate * MEASURED_MS) / SECOND_MS;

type Fault = (simulation: StatementSimulation, isOn: boolean) => void;

function refuseStatements(refusal: 'busy' | 'lagging'): Fault {
  return ({group}, isOn) => {
    for (const {faults} of group.targets()) {
      faults.refusal = isOn ? refusal : undefined;
    }
  };
}

const refuseConnections: Fault = ({group}, isOn) => {
  for (const {target} of group.targets()) {
    group.refuseConnections(target, isOn);
  }
};

/** Callers of one account request several times its quota. */
function createSimulation(seed: number, sessions = 24): StatementSimulation {
  return createStatementSimulation({
    seed,
    duration: DURATION_MS,
    proxies: 6,
    sessions,
    connectionLimit: 30,
    accounts: createAccounts(1, QUOTA),
  });
}

/**
 * Operations of an account far beyond its quota that run once targets accept
 * statements again, after they have refused all for a while.
 */
function operationsAfter(seed: number, fault: Fault): number {
  const simulation = createSimulation(seed);
  const {timer, checker} = simulation;
  timer.advance(WARM_UP_MS);
  fault(simulation, true);
  timer.advance(FAULT_MS);
  fault(simulation, false);
  const from = timer.now();
  simulation.finish();
  expect(checker.broken()).toEqual([]);
  return checker
    .operationsOf(ACCOUNT)
    .filter(({ranAt}) => ranAt >= from && ranAt < from + MEASURED_MS).length;
}

describe('a quota is not used up by statements that targets refuse', () => {
  // An unused quota has saved a burst. Without returns, 21 to 27 operations run
  // after refused statements, and 30 to 34 after refused connections, whose
  // statements wait and run as well.
  const cases: ReadonlyArray<readonly [string, Fault, number]> = [
    ['as lagging', refuseStatements('lagging'), QUOTA.burst / 2],
    ['as busy', refuseStatements('busy'), QUOTA.burst / 2],
    ['with all connections', refuseConnections, QUOTA.burst],
  ];

  for (const [name, fault, saved] of cases) {
    test(name, () => {
      for (const seed of SEEDS) {
        const count = operationsAfter(seed, fault);
        const isServed = count >= RATE_OPERATIONS + saved;
        expect({seed, isServed, count}).toEqual({seed, isServed: true, count});
      }
    });
  }
});

describe('a quota counts statements that ran more than once', () => {
  test('as their answers were lost', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed, 72);
      const {timer, checker} = simulation;
      timer.advance(WARM_UP_MS);
      simulation.lostAnswerShare = 0.3;
      simulation.finish();
      const count = checker
        .operationsOf(ACCOUNT)
        .filter(
          ({sentAt}) => sentAt >= WARM_UP_MS && sentAt < DURATION_MS,
        ).length;
      const seconds = (DURATION_MS - WARM_UP_MS) / SECOND_MS;
      // The burst was used before.
      const isWithin = count <= QUOTA.rate * seconds;
      expect({seed, isWithin, count}).toEqual({seed, isWithin: true, count});
    }
  });
});
