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

function createKeeper(isCurrent = () => true, mayTrustKeys = () => true) {
  const keeper = createActiveConfiguration({isCurrent, mayTrustKeys});

  /** The account a session is served as, or the error that it gets. */
  function judge(database: string, keyDigest = ''): string | undefined {
    const admission = keeper.admit({database, keyDigest});
    return admission.kind === 'admitted'
      ? (admission.account?.name ?? 'anyone')
      : admission.answer.error?.name;
  }

  return {...keeper, judge};
}

describe('the configuration in force', () => {
  test('is the newest one, whatever order they come in', () => {
    const keeper = createKeeper();
    expect(keeper.accept(configuration(4, [ROUTE]))).toEqual(true);
    expect(keeper.accept(configuration(3, []))).toEqual(false);
    expect(keeper.accept(configuration(4, []))).toEqual(false);
    expect(keeper.current()?.version).toEqual(4);
    expect(keeper.judge('records')).toEqual('anyone');
  });

  test('no longer has routes that were dropped', () => {
    const keeper = createKeeper();
    keeper.accept(configuration(1, [ROUTE]));
    keeper.accept(configuration(2, []));
    expect(keeper.judge('records')).toEqual('noDatabase');
  });

  test('denies a database that it lacks, but not while it may be out of date', () => {
    let isCurrent = false;
    const keeper = createKeeper(() => isCurrent);
    const judgements = () =>
      ['records', 'other'].map(name => keeper.judge(name));
    expect(judgements()).toEqual(['busy', 'busy']);
    keeper.accept(configuration(1, [ROUTE]));
    expect(judgements()).toEqual(['anyone', 'busy']);
    isCurrent = true;
    expect(judgements()).toEqual(['anyone', 'noDatabase']);
  });
});

describe('keys of client accounts', () => {
  test('serve whoever comes where there are no accounts', () => {
    const keeper = createKeeper();
    keeper.accept(configuration(1, [ROUTE]));
    expect(keeper.judge('records', 'any')).toEqual('anyone');
  });

  test('serve nobody where the list of accounts is empty', () => {
    const keeper = createKeeper();
    keeper.accept(configuration(1, [ROUTE], []));
    expect(keeper.judge('records', 'any')).toEqual('notAuthorized');
  });

  test('tell whose session it is; a public route needs none', () => {
    const keeper = createKeeper();
    keeper.accept(configuration(1, [ROUTE, PUBLIC], [OFFICE, DEPOT]));
    expect([
      keeper.judge('records', 'office-2'),
      keeper.judge('records', 'd'),
      keeper.judge('records', 'unknown'),
      keeper.judge('notices', 'unknown'),
      keeper.judge('notices', 'd'),
    ]).toEqual(['office', 'depot', 'notAuthorized', 'anyone', 'depot']);
  });

  test('are refused for now while they may be missing', () => {
    const keeper = createKeeper(() => false);
    keeper.accept(configuration(1, [ROUTE], [OFFICE]));
    expect(keeper.judge('records', 'unknown')).toEqual('busy');
    expect(keeper.judge('records', 'office-1')).toEqual('office');
  });

  test('that were taken away, or moved, stand for their account no more', () => {
    const keeper = createKeeper();
    keeper.accept(configuration(1, [ROUTE], [OFFICE, DEPOT]));
    const moved = [
      {...OFFICE, keyDigests: ['office-1']},
      {...DEPOT, keyDigests: ['d', 'office-2']},
    ];
    keeper.accept(configuration(2, [ROUTE], moved));
    expect(keeper.trustedAccount('office-2')).toEqual('depot');
    keeper.accept(configuration(3, [ROUTE], [OFFICE]));
    expect(keeper.judge('records', 'd')).toEqual('notAuthorized');
    expect(keeper.trustedAccount('d')).toEqual(undefined);
  });

  test('are trusted only as long as the deployment allows without proof', () => {
    let mayTrust = true;
    const keeper = createKeeper(
      () => true,
      () => mayTrust,
    );
    keeper.accept(configuration(1, [ROUTE, PUBLIC], [OFFICE]));
    expect(keeper.trustedAccount('office-1')).toEqual('office');
    mayTrust = false;
    expect(keeper.judge('records', 'office-1')).toEqual('busy');
    expect(keeper.judge('notices')).toEqual('anyone');
    expect(keeper.trustedAccount('office-1')).toEqual(undefined);
  });
});
