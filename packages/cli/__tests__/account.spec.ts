import {digestKey} from '@kelpstep/accounts';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {runCommand} from './run_command';

describe('the account command', () => {
  test('generates a new key on each run, with its digest for the manifest', async () => {
    const runs = await Promise.all([
      runCommand(['account', 'office']),
      runCommand(['account', 'office']),
    ]);
    const accounts = runs.map(({results}) => JSON.parse(results[0] ?? 'null'));
    for (const {name, key, keyDigest} of accounts) {
      expect(name).toEqual('office');
      expect(keyDigest).toEqual(digestKey(Buffer.from(key)));
    }
    expect(accounts[0].key === accounts[1].key).toEqual(false);
  });
});
