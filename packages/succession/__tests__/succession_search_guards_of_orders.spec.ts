import {describe} from 'node:test';

import {testGuards, testLoss} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards('the primary is cut off', faults(['primaryIsCut'], 1), [
    'needsAllReplicas',
    'comparesVersions',
  ]);
  testGuards(
    'the primary is cut off and some proxies do not know the row',
    faults(['primaryIsCut', 'rowIsUnknown'], 2),
    ['keepsOrders', 'stopsReplicas'],
  );
  testGuards(
    'some proxies do not know the row',
    faults(['rowIsUnknown'], 1, {commits: 2}),
    ['checksTerms'],
  );
  testGuards(
    'an order is repeated and some proxies do not know the row',
    faults(['rowIsUnknown'], 1, {orders: 2}),
    ['fencesOrders'],
  );
  testGuards(
    'orders are repeated and the primary is cut off or crashes',
    faults(['primaryIsCut', 'primaryCrashes'], 1, {orders: 2, choices: 2}),
    ['checksEpochs'],
  );
  testGuards(
    'the primary is cut off and the store is restored',
    faults(['primaryIsCut', 'storeIsRestored'], 2),
    ['remembersLostRows'],
  );

  const returnsEmpty = faults(['replicaReturnsEmpty', 'primaryCrashes'], 2);
  testGuards('a replica returns empty and the primary crashes', returnsEmpty, [
    'countsLostCopies',
  ]);
  // The assumption on which the tests of empty targets rest.
  testLoss(
    'if a target returns empty while its order is in transit',
    returnsEmpty,
    {logLoss: 'always', step: 'returns empty'},
  );
});
