import {describe} from 'node:test';

import {testGuards} from './guard_tests';

describe('the succession model', () => {
  testGuards(['fencesOrders']);
});
