import {describe} from 'node:test';

import {testSafety} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  testSafety(
    'the primary is cut off, replicas restart and orders are repeated',
    faults(['primaryIsCut', 'replicaRestarts'], 2, {orders: 2, choices: 2}),
  );
});
