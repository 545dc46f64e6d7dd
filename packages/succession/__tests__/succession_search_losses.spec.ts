import {describe} from 'node:test';

import {testLoss} from './search_tests';
import {faults, faultsWithJoin} from './succession_search_mixes';

// What the promise does not cover.
describe('the succession search', () => {
  testLoss(
    'if a replica restarts while proxies that do not know the row reach the primary',
    faults(['primaryIsCut', 'replicaRestarts', 'rowIsUnknown'], 3),
  );
  testLoss(
    'if an order is repeated and proxies do not know the row of the next change',
    faults(['primaryIsCut', 'rowIsUnknown'], 2, {orders: 2}),
  );
  testLoss(
    'if a replica leaves and the primary that holds the only copy is removed',
    faults(['replicaLeaves', 'primaryIsRemoved'], 2),
  );
  testLoss(
    'if a target joins, leaves before it is recorded, and all proxies restart',
    faultsWithJoin(['replicaLeaves', 'allProxiesRestart'], 3),
  );
});
