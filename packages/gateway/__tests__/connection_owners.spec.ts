import type {ProxyDescriptor} from '@kelpstep/table-feed';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createConnectionOwners} from '../src/relay/connection_owners';

/** 56 connections are enough for 11 owners without accounts. */
const CONNECTION_LIMIT = 56;
const GROUP_COUNT = 400;

function createProxies(
  count: number,
  dataCentres: number,
  capacity: (index: number) => number = () => 1,
): ProxyDescriptor[] {
  return Array.from({length: count}, (unused, index) => ({
    proxy: `p${index}`,
    dataCentre: `centre-${index % dataCentres}`,
    region: '',
    address: '',
    relayAddress: `10.0.0.${index}:1`,
    capacity: capacity(index),
  }));
}

function createSelection(live: ProxyDescriptor[]) {
  const state = {hasAccounts: true, lost: new Set<string>()};
  const owners = createConnectionOwners({
    // A proxy outside the list, so that `otherOwners` are all of them.
    self: {...createProxies(1, 1)[0], proxy: 'self'} as ProxyDescriptor,
    live: () => live,
    lost: () => state.lost,
    hasAccounts: () => state.hasAccounts,
  });
  function ownersOf(
    group = 'g',
    connectionLimit = CONNECTION_LIMIT,
  ): ProxyDescriptor[] {
    const settings = {group, connectionLimit, synchronousReplicas: 1};
    const selected = owners.otherOwners(settings);
    expect(owners.count(settings)).toEqual(selected.length);
    return [...selected];
  }
  return {state, ownersOf};
}

function dataCentresOf(proxies: readonly ProxyDescriptor[]): Set<string> {
  return new Set(proxies.map(({dataCentre}) => dataCentre));
}

describe('connection owners with client accounts', () => {
  test('are one of each data centre, the first of those without accounts', () => {
    const {state, ownersOf} = createSelection(createProxies(58, 6));
    const bounded = ownersOf();
    expect(bounded.length).toEqual(6);
    expect(dataCentresOf(bounded).size).toEqual(6);
    // The configuration changes while the same proxies run.
    state.hasAccounts = false;
    const unbounded = ownersOf();
    expect(unbounded.length).toEqual(11);
    expect(unbounded.slice(0, 6)).toEqual(bounded);
    state.hasAccounts = true;
    expect(ownersOf()).toEqual(bounded);
  });

  // Guards against groups whose only owners are in one failed data centre.
  test('are three in few data centres, unless fewer connections are accepted', () => {
    const {ownersOf} = createSelection(createProxies(20, 2));
    expect(ownersOf().length).toEqual(3);
    expect(ownersOf('g', 10).length).toEqual(2);
    expect(ownersOf('g', 5).length).toEqual(1);
  });

  // Guards against a lost data centre that lowers the number of owners.
  test('are replaced when lost, also with their whole data centre', () => {
    const proxies = createProxies(58, 6);
    const {state, ownersOf} = createSelection(proxies);
    const before = ownersOf();
    const isLost = ({dataCentre}: ProxyDescriptor) => dataCentre === 'centre-2';
    state.lost = new Set(
      proxies.filter(isLost).map(({relayAddress}) => relayAddress),
    );
    const after = ownersOf();
    expect(after.length).toEqual(6);
    expect(dataCentresOf(after).has('centre-2')).toEqual(false);
    const remaining = before.filter(proxy => !isLost(proxy));
    expect(new Set(after)).toEqual(
      new Set([...remaining, ...after.filter(each => !before.includes(each))]),
    );
  });
});

describe('connection owners of uneven capacity', () => {
  test('own groups in proportion to it, in every data centre', () => {
    const {ownersOf} = createSelection(
      createProxies(12, 3, index => (index < 6 ? 0.5 : 1.5)),
    );
    let ownedByLarge = 0;
    for (let index = 0; index < GROUP_COUNT; index++) {
      const owners = ownersOf(`group-${index}`);
      expect(dataCentresOf(owners).size).toEqual(3);
      ownedByLarge += owners.filter(each => each.capacity === 1.5).length;
    }
    // Two of each size per data centre: large ones own three quarters.
    const share = ownedByLarge / (3 * GROUP_COUNT);
    expect(Math.abs(share - 0.75)).toBeLessThan(0.04);
  });
});
