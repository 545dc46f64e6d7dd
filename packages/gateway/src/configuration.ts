/** The configuration in force, as the gateway uses it. */
import {
  type Future,
  type Milliseconds,
  createDeferred,
} from '@kelpstep/runtime';
import type {GroupSettings} from '@kelpstep/targets';

/**
 * What reads must see. `primary`: every commit acknowledged before. `bounded`:
 * those older than the maximum staleness. `readYourWrites`: those, and all of
 * the same session.
 */
export type Freshness = 'primary' | 'bounded' | 'readYourWrites';

/** How the sessions of a database name are served. */
export interface CallerRoute {
  readonly database: string;
  readonly freshness: Freshness;
  readonly group: string;
  /** Limit for one statement. */
  readonly timeout: Milliseconds;
  /** Objective for a whole operation. */
  readonly targetLatency: Milliseconds;
  /** 0 is the highest. */
  readonly priority: number;
  readonly maximumStaleness: Milliseconds;
}

/** A whole configuration. */
export interface GatewayConfiguration {
  /** Rises with each change. */
  readonly version: number;
  readonly routes: readonly CallerRoute[];
  readonly groups: readonly GroupSettings[];
  /** A transaction that is idle for longer is rolled back. */
  readonly transactionIdle: Milliseconds;
}

/** Holds the newest configuration. */
export interface ConfigurationKeeper {
  current(): GatewayConfiguration | undefined;
  route(database: string): CallerRoute | undefined;
  group(name: string): GroupSettings | undefined;
  /** Settles once there is a configuration. */
  readonly first: Future<undefined>;
  /** Takes a newer one; false for one that isn't. */
  accept(configuration: GatewayConfiguration): boolean;
}

/** Creates a keeper without a configuration. */
export function createConfigurationKeeper(): ConfigurationKeeper {
  let current: GatewayConfiguration | undefined;
  let routes = new Map<string, CallerRoute>();
  let groups = new Map<string, GroupSettings>();
  const first = createDeferred<undefined>();

  return {
    first: first.future,
    current: () => current,
    route: database => routes.get(database),
    group: name => groups.get(name),
    accept(configuration) {
      if (current !== undefined && configuration.version <= current.version) {
        return false;
      }
      current = configuration;
      routes = new Map(
        configuration.routes.map(route => [route.database, route]),
      );
      groups = new Map(configuration.groups.map(group => [group.group, group]));
      first.settle(undefined);
      return true;
    },
  };
}
