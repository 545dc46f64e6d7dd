import {describe} from 'node:test';

import {testSafety} from './search_tests';
import {faults} from './succession_search_mixes';

describe('the succession search', () => {
  testSafety(
    'registrations of ordered targets lapse',
    faults(['registrationLapses'], 2, {choices: 2}),
  );
});
