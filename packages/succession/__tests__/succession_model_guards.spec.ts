import {describe} from 'node:test';

import {testGuards} from './guard_tests';
import {ALL_GUARDS, type Guards} from './succession_model_state';

/** Their searches take longest and have files of their own, to run in parallel. */
const TESTED_ELSEWHERE = new Set<keyof Guards>([
  'checksTerms',
  'fencesOrders',
  'checksEpochs',
]);

describe('the succession model', () => {
  const names = Object.keys(ALL_GUARDS) as Array<keyof Guards>;
  testGuards(names.filter(name => !TESTED_ELSEWHERE.has(name)));
});
