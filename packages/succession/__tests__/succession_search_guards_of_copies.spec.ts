import {describe} from 'node:test';

import {testGuards} from './search_tests';
import {faults, faultsWithJoin} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards('a target joins', faultsWithJoin([], 1), ['asksForCommits']);
  testGuards(
    'a target joins, the proxy with the newest commit restarts and the primary crashes',
    faultsWithJoin(['primaryCrashes', 'proxyRestarts'], 3),
    ['startsUncertain'],
  );
  testGuards(
    'a replica leaves and the primary is cut off',
    faults(['replicaLeaves', 'primaryIsCut'], 1),
    ['countsLostCopies'],
  );
  testGuards(
    'a replica leaves, then the primary goes dark',
    faults(['replicaLeaves', 'primaryCrashes'], 2),
    ['waitsForPrimary'],
  );
  testGuards(
    'a replica leaves and all proxies restart',
    faults(['replicaLeaves', 'allProxiesRestart'], 2),
    ['recordsCopies'],
  );
});
