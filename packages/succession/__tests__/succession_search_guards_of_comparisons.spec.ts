import {describe} from 'node:test';

import {testGuards} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards(
    'the primary is cut off and a replica restarts',
    faults(['primaryIsCut', 'replicaRestarts'], 2),
    ['comparesAgain', 'withholdsSuccess'],
  );
});
