import {expect} from 'earl';
import {describe, test} from 'node:test';

import {searchSuccession} from './succession_model';
import {ALL_GUARDS} from './succession_model_state';

describe('the succession model over all interleavings of two promoters', () => {
  test('preserves every acknowledged commit', () => {
    const {states, counterexample} = searchSuccession(ALL_GUARDS);
    process.stdout.write(`# succession model: ${states} states\n`);
    expect(counterexample).toEqual(undefined);
    expect(states > 1000).toEqual(true);
  });

  // The assumption on which the test above rests.
  test('loses a commit if a target returns empty while its order is in transit', () => {
    const {counterexample = []} = searchSuccession(ALL_GUARDS, 'always');
    expect(counterexample.some(step => step.endsWith('returns empty'))).toEqual(
      true,
    );
  });
});
