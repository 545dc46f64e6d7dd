import {describe} from 'node:test';

import {testGuard} from './guard_tests';
import {faults, faultsWithJoin} from './succession_model_mixes';

describe('the succession model', () => {
  testGuard('needsAllReplicas', faults(['primaryIsCut'], 1));
  testGuard('comparesVersions', faults(['primaryIsCut'], 1));
  testGuard('keepsOrders', faults(['primaryIsCut', 'rowIsUnknown'], 2));
  testGuard('comparesAgain', faults(['primaryIsCut', 'replicaRestarts'], 2));
  testGuard('withholdsSuccess', faults(['primaryIsCut', 'replicaRestarts'], 2));
  testGuard(
    'checksEpochs',
    faults(['primaryIsCut', 'primaryCrashes'], 1, {orders: 2, choices: 2}),
  );
  testGuard(
    'remembersLostRows',
    faults(['primaryIsCut', 'storeIsRestored'], 2),
  );
  const pauseEnds = faults(
    ['primaryIsCut', 'replicaRestarts', 'rowIsUnknown'],
    2,
    {commits: 2},
  );
  testGuard('stopsPrimary', pauseEnds);
  testGuard('resumesInTime', pauseEnds);
  testGuard('asksForCommits', faultsWithJoin([], 1));
  testGuard('countsLostCopies', faults(['replicaLeaves', 'primaryIsCut'], 1));
  testGuard('waitsForPrimary', faults(['replicaLeaves', 'primaryCrashes'], 2));
  testGuard(
    'startsUncertain',
    faultsWithJoin(['primaryCrashes', 'proxyRestarts'], 3),
  );
  testGuard(
    'withholdsWhileContested',
    faultsWithJoin(['primaryCrashes'], 2, {commits: 2, choices: 2}),
  );
});
