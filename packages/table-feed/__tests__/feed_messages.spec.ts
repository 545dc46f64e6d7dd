import {expect} from 'earl';
import {describe, test} from 'node:test';

import {agesByEra, feedMessageSchema} from '../src/feed_messages';

const TABLE = 'configuration';
const AGE_MS = 100;

describe('the ages in a feed message', () => {
  test('are taken from a copy of the same or a later era', () => {
    const message = feedMessageSchema.parse({
      ages: {[TABLE]: AGE_MS},
      eras: {[TABLE]: 2},
    });
    expect(agesByEra(message, () => 2)).toEqual([[TABLE, AGE_MS]]);
    expect(agesByEra(message, () => 1)).toEqual([[TABLE, AGE_MS]]);
  });

  test('do not confirm a copy of a later era, also if the sender knows of none', () => {
    const message = feedMessageSchema.parse({ages: {[TABLE]: AGE_MS}});
    expect(agesByEra(message, () => 1)).toEqual([]);
    expect(agesByEra(message, () => 0)).toEqual([[TABLE, AGE_MS]]);
  });
});
