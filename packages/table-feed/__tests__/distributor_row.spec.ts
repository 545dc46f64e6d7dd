import type {StoredRow, TableRows} from '@kelpstep/platform';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {z} from 'zod';

import {
  type ProxyDescriptor,
  capacityOf,
  isSameProxy,
  listProxiesByName,
  proxyDescriptorSchema,
  readDistributorRows,
} from '../src/distributor_row';

const OLD_DESCRIPTOR = {
  proxy: 'p1',
  dataCentre: 'a',
  region: '',
  address: '10.0.0.1:1',
  relayAddress: '10.0.0.1:2',
};
const DESCRIPTOR: ProxyDescriptor = {...OLD_DESCRIPTOR, capacity: 0.25};

/** Schemas of the releases before descriptors had a capacity. */
const oldDescriptorSchema = z.object({
  proxy: z.string(),
  dataCentre: z.string(),
  region: z.string().default(''),
  address: z.string(),
  relayAddress: z.string(),
});
const oldValueSchema = z.object({
  distributor: oldDescriptorSchema,
  subscribers: z.array(oldDescriptorSchema).readonly(),
  most: z.number().int().nonnegative().default(0),
});

function rowOf(key: string, distributor: object, subscribers: object[]) {
  const value: unknown = JSON.parse(
    JSON.stringify({distributor, subscribers, most: 2}),
  );
  return {key, value, version: 1, isRemoved: false} satisfies StoredRow;
}

function read(...rows: StoredRow[]): Map<string, ProxyDescriptor> {
  const table: TableRows = new Map(rows.map(row => [row.key, row]));
  return listProxiesByName(readDistributorRows(table));
}

describe('the capacity in a descriptor', () => {
  test('is 1 where an older proxy states none', () => {
    const proxies = read(rowOf('a/0', OLD_DESCRIPTOR, []));
    const known = proxies.get('p1');
    expect(known).toEqual(OLD_DESCRIPTOR);
    expect(known && capacityOf(known)).toEqual(1);
  });

  // Guards against an upgrade in which old proxies lose their peers.
  test('is ignored by older proxies, which read the rest of the row', () => {
    const {value} = rowOf('a/0', DESCRIPTOR, [{...DESCRIPTOR, proxy: 'p2'}]);
    expect(oldValueSchema.parse(value)).toEqual({
      distributor: OLD_DESCRIPTOR,
      subscribers: [{...OLD_DESCRIPTOR, proxy: 'p2'}],
      most: 2,
    });
  });

  // Guards against owners that depend on the order in which rows arrived.
  test('is found if an older distributor lists the proxy without it', () => {
    const other = {...DESCRIPTOR, proxy: 'p2'};
    const current = rowOf('a/0', other, [DESCRIPTOR]);
    const old = rowOf('a/1', {...OLD_DESCRIPTOR, proxy: 'p3'}, [
      OLD_DESCRIPTOR,
    ]);
    expect(read(current, old).get('p1')).toEqual(DESCRIPTOR);
    expect(read(old, current).get('p1')).toEqual(DESCRIPTOR);
  });

  test('counts as left out if it is no positive number', () => {
    for (const capacity of [0, -1, 'two', null]) {
      const parsed = proxyDescriptorSchema.parse({...DESCRIPTOR, capacity});
      expect(capacityOf(parsed)).toEqual(1);
    }
  });

  // Guards against rows that keep the capacity of before a restart.
  test('is compared, so that a changed one is written to the row', () => {
    expect(isSameProxy(DESCRIPTOR, {...DESCRIPTOR})).toEqual(true);
    expect(isSameProxy(DESCRIPTOR, OLD_DESCRIPTOR)).toEqual(false);
    expect(
      isSameProxy({...OLD_DESCRIPTOR, capacity: 1}, OLD_DESCRIPTOR),
    ).toEqual(true);
  });
});
