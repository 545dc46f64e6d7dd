import {describe} from 'node:test';

import {testGuards, testSafety} from './search_tests';
import {faults, faultsWithJoin} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards(
    'a replica leaves, all proxies restart and the primary goes dark',
    faults(['replicaLeaves', 'allProxiesRestart', 'primaryCrashes'], 3),
    ['recordsCopies', 'waitsForPrimary'],
  );
  testSafety(
    'a replica returns empty and all proxies restart',
    faults(['replicaReturnsEmpty', 'allProxiesRestart'], 2),
  );
  testSafety(
    'a target joins, all proxies restart and the primary crashes',
    faultsWithJoin(['allProxiesRestart', 'primaryCrashes'], 3),
  );
});
