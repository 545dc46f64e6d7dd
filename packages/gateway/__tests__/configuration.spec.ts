import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type CallerRoute,
  type GatewayConfiguration,
  createConfigurationKeeper,
} from '../src/configuration';

const ROUTE: CallerRoute = {
  database: 'records',
  freshness: 'primary',
  group: 'g',
  timeout: 800,
  targetLatency: 400,
  priority: 1,
  maximumStaleness: 0,
};

function configuration(
  version: number,
  routes: readonly CallerRoute[],
): GatewayConfiguration {
  return {version, routes, groups: [], transactionIdle: 3000};
}

describe('the configuration in force', () => {
  test('is the newest one, whatever order they come in', () => {
    const keeper = createConfigurationKeeper({isCurrent: () => true});
    expect(keeper.accept(configuration(4, [ROUTE]))).toEqual(true);
    expect(keeper.accept(configuration(3, []))).toEqual(false);
    expect(keeper.accept(configuration(4, []))).toEqual(false);
    expect(keeper.current()?.version).toEqual(4);
    expect(keeper.route('records')).toEqual(ROUTE);
  });

  test('no longer has routes that were dropped', () => {
    const keeper = createConfigurationKeeper({isCurrent: () => true});
    keeper.accept(configuration(1, [ROUTE]));
    keeper.accept(configuration(2, []));
    expect(keeper.route('records')).toEqual(undefined);
  });

  test('denies a database that it lacks, but not while it may be out of date', () => {
    let isCurrent = false;
    const keeper = createConfigurationKeeper({isCurrent: () => isCurrent});
    const refusals = () =>
      ['records', 'other'].map(
        database => keeper.refusal(database)?.error?.name,
      );
    expect(refusals()).toEqual([undefined, undefined]);
    keeper.accept(configuration(1, [ROUTE]));
    expect(refusals()).toEqual([undefined, 'busy']);
    isCurrent = true;
    expect(refusals()).toEqual([undefined, 'noDatabase']);
  });
});
