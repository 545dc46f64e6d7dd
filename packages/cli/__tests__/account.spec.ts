import {digestKey} from '@kelpstep/accounts';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {runCommand} from './run_command';

describe('the account command', () => {
  test('makes a new key each time, with its digest for the manifest', async () => {
    const runs = await Promise.all([
      runCommand(['account', 'office']),
      runCommand(['account', 'office']),
    ]);
    const made = runs.map(({results}) => JSON.parse(results[0] ?? 'null'));
    for (const {name, key, keyDigest} of made) {
      expect(name).toEqual('office');
      expect(keyDigest).toEqual(digestKey(Buffer.from(key)));
    }
    expect(made[0].key === made[1].key).toEqual(false);
  });
});
