import {describe} from 'node:test';

import {testGuards} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards(
    'a replica restarts while some proxies do not know the row',
    faults(['primaryIsCut', 'replicaRestarts', 'rowIsUnknown'], 2, {
      commits: 2,
    }),
    ['stopsPrimary', 'resumesInTime'],
  );
});
