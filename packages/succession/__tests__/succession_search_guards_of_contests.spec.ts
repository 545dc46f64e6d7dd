import {describe} from 'node:test';

import {testGuards} from './search_tests';
import {faultsWithJoin} from './succession_search_mixes';

describe('the succession search', () => {
  testGuards(
    'a target joins and the primary crashes after a repeated choice',
    faultsWithJoin(['primaryCrashes'], 2, {commits: 2, choices: 2}),
    ['withholdsWhileContested'],
  );
});
