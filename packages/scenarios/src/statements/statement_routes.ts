/** Routes and the configuration of a statement simulation. */
import type {ClientAccount} from '@kelpstep/accounts';
import type {CallerRoute, GatewayConfiguration} from '@kelpstep/gateway';
import type {Milliseconds} from '@kelpstep/runtime';

/** Name of the only group. */
export const GROUP = 'records';

/** One route for each kind of freshness. */
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

/** Creates a configuration with `ROUTES` and one group. */
export function createConfiguration(
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
