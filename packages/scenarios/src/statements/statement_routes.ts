/** Routes and group of a statement world. */
import type {ClientAccount} from '@kelpstep/accounts';
import type {CallerRoute, GatewayConfiguration} from '@kelpstep/gateway';
import type {Milliseconds} from '@kelpstep/runtime';

/** Name of the one group. */
export const GROUP = 'records';

/** Routes of all three kinds of freshness. */
export const ROUTES: readonly CallerRoute[] = [
  route('entries', 'primary', 0, 800),
  route('histories', 'bounded', 1500, 2000),
  route('reports', 'readYourWrites', 2500, 800),
];

function route(
  database: string,
  freshness: CallerRoute['freshness'],
  maximumStaleness: Milliseconds,
  timeout: Milliseconds,
): CallerRoute {
  return {
    database,
    freshness,
    group: GROUP,
    timeout,
    targetLatency: timeout,
    priority: 1,
    maximumStaleness,
    isPublic: false,
  };
}

/** A configuration with these routes. */
export function configurationWith(
  connectionLimit: number,
  accounts: readonly ClientAccount[] | undefined,
): GatewayConfiguration {
  return {
    version: 1,
    routes: ROUTES,
    groups: [{group: GROUP, connectionLimit, synchronousReplicas: 1}],
    accounts,
    transactionIdle: 3000,
  };
}
