import type {StoredRow, TableRows} from '@kelpstep/platform';
import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {ProxyDescriptor} from '../src/distributor_row';
import {createProxyDirectory} from '../src/proxy_directory';

const GRACE_MS = 3000;

function describeProxy(proxy: string): ProxyDescriptor {
  return {proxy, dataCentre: 'a', region: '', address: '', relayAddress: ''};
}

/** The row of a distributor that lists this many proxies. */
function rowsWith(proxies: number): TableRows {
  const [distributor, ...subscribers] = Array.from(
    {length: proxies},
    (unused, index) => describeProxy(`proxy-${index + 1}`),
  );
  const row: StoredRow = {
    key: 'a/0',
    value: {distributor, subscribers, most: proxies},
    isRemoved: false,
    version: proxies,
  };
  return new Map([[row.key, row]]);
}

describe('the size of a fleet', () => {
  test('does not shrink while distributors have yet to write to a restored store', () => {
    const timer = createVirtualTimer();
    const self = describeProxy('proxy-1');
    const directory = createProxyDirectory({timer, self});
    directory.updateRows(rowsWith(10), {era: 0, version: 10});
    directory.updateRows(rowsWith(2), {era: 1, version: 2});
    expect(directory.fleetSize()).toEqual(10);
    timer.advance(GRACE_MS - 1);
    expect(directory.fleetSize()).toEqual(10);
    timer.advance(1);
    expect(directory.fleetSize()).toEqual(2);
  });

  test('follows the rows within an era', () => {
    const timer = createVirtualTimer();
    const self = describeProxy('proxy-1');
    const directory = createProxyDirectory({timer, self});
    directory.updateRows(rowsWith(10), {era: 0, version: 10});
    directory.updateRows(rowsWith(2), {era: 0, version: 11});
    expect(directory.fleetSize()).toEqual(2);
  });
});
