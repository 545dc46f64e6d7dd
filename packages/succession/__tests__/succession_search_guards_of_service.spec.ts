import {describe} from 'node:test';

import {testGuards, testSafety, testServiceLoss} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  const demotedBeforeRestart = faults(
    ['replicaLeaves', 'primaryCrashes', 'allProxiesRestart'],
    3,
  );
  testSafety(
    'proxies restart after they demoted a primary whose copies may be lacking',
    demotedBeforeRestart,
  );
  testServiceLoss(
    'if a demoted primary does not vouch for its log',
    demotedBeforeRestart,
    ['findsDemotedPrimary'],
  );
  testGuards(
    'a registration lapses and the primary returns empty',
    faults(['registrationLapses', 'primaryReturnsEmpty'], 2),
    ['checksLogOfPrimary'],
  );
});
