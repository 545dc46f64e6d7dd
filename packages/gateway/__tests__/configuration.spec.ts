import type {ClientAccount} from '@kelpstep/accounts';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type CallerRoute,
  type GatewayConfiguration,
  createActiveConfiguration,
} from '../src/configuration';

const ROUTE: CallerRoute = {
  database: 'records',
  freshness: 'primary',
  group: 'g',
  timeout: 800,
  targetLatency: 400,
  priority: 1,
  maximumStaleness: 0,
  isPublic: false,
};
const PUBLIC: CallerRoute = {...ROUTE, database: 'notices', isPublic: true};
const OFFICE: ClientAccount = {
  name: 'office',
  keyDigests: ['office-1', 'office-2'],
  quota: undefined,
};
const DEPOT: ClientAccount = {...OFFICE, name: 'depot', keyDigests: ['d']};

function configuration(
  version: number,
  routes: readonly CallerRoute[],
  accounts?: readonly ClientAccount[],
): GatewayConfiguration {
  return {version, routes, groups: [], accounts, transactionIdle: 3000};
}

function createActive(isCurrent = () => true, mayTrustKeys = () => true) {
  const active = createActiveConfiguration({isCurrent, mayTrustKeys});

  /** The account that a session is admitted for, or the error name. */
  function admittedAs(database: string, keyDigest = ''): string | undefined {
    const admission = active.admit({database, keyDigest});
    return admission.kind === 'admitted'
      ? (admission.account?.name ?? 'anyone')
      : admission.answer.error?.name;
  }

  return {...active, admittedAs};
}

describe('the configuration in force', () => {
  test('is the newest one, in whatever order versions arrive', () => {
    const active = createActive();
    expect(active.accept(configuration(4, [ROUTE]))).toEqual(true);
    expect(active.accept(configuration(3, []))).toEqual(false);
    expect(active.accept(configuration(4, []))).toEqual(false);
    expect(active.current()?.version).toEqual(4);
    expect(active.admittedAs('records')).toEqual('anyone');
  });

  test('no longer contains routes that were removed', () => {
    const active = createActive();
    active.accept(configuration(1, [ROUTE]));
    active.accept(configuration(2, []));
    expect(active.admittedAs('records')).toEqual('noDatabase');
  });

  test('denies unknown databases, but not while it may be out of date', () => {
    let isCurrent = false;
    const active = createActive(() => isCurrent);
    const results = () =>
      ['records', 'other'].map(name => active.admittedAs(name));
    expect(results()).toEqual(['busy', 'busy']);
    active.accept(configuration(1, [ROUTE]));
    expect(results()).toEqual(['anyone', 'busy']);
    isCurrent = true;
    expect(results()).toEqual(['anyone', 'noDatabase']);
  });
});

describe('keys of client accounts', () => {
  test('are not needed if there is no list of accounts', () => {
    const active = createActive();
    active.accept(configuration(1, [ROUTE]));
    expect(active.admittedAs('records', 'any')).toEqual('anyone');
  });

  test('are all denied if the list of accounts is empty', () => {
    const active = createActive();
    active.accept(configuration(1, [ROUTE], []));
    expect(active.admittedAs('records', 'any')).toEqual('notAuthorized');
  });

  test('identify the account of a session; public routes need none', () => {
    const active = createActive();
    active.accept(configuration(1, [ROUTE, PUBLIC], [OFFICE, DEPOT]));
    expect([
      active.admittedAs('records', 'office-2'),
      active.admittedAs('records', 'd'),
      active.admittedAs('records', 'unknown'),
      active.admittedAs('notices', 'unknown'),
      active.admittedAs('notices', 'd'),
    ]).toEqual(['office', 'depot', 'notAuthorized', 'anyone', 'depot']);
  });

  test('are refused temporarily if the configuration may lack them', () => {
    const active = createActive(() => false);
    active.accept(configuration(1, [ROUTE], [OFFICE]));
    expect(active.admittedAs('records', 'unknown')).toEqual('busy');
    expect(active.admittedAs('records', 'office-1')).toEqual('office');
  });

  test('no longer belong to an account after they were revoked or moved', () => {
    const active = createActive();
    active.accept(configuration(1, [ROUTE], [OFFICE, DEPOT]));
    const moved = [
      {...OFFICE, keyDigests: ['office-1']},
      {...DEPOT, keyDigests: ['d', 'office-2']},
    ];
    active.accept(configuration(2, [ROUTE], moved));
    expect(active.trustedAccount('office-2')).toEqual('depot');
    active.accept(configuration(3, [ROUTE], [OFFICE]));
    expect(active.admittedAs('records', 'd')).toEqual('notAuthorized');
    expect(active.trustedAccount('d')).toEqual(undefined);
  });

  test('are accepted only while a revocation would be known', () => {
    let mayTrust = true;
    const active = createActive(
      () => true,
      () => mayTrust,
    );
    active.accept(configuration(1, [ROUTE, PUBLIC], [OFFICE]));
    expect(active.trustedAccount('office-1')).toEqual('office');
    mayTrust = false;
    expect(active.admittedAs('records', 'office-1')).toEqual('busy');
    expect(active.admittedAs('notices')).toEqual('anyone');
    expect(active.trustedAccount('office-1')).toEqual(undefined);
  });
});
