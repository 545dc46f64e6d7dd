/** The configuration in force, as the gateway uses it. */
import {
  type Future,
  type Milliseconds,
  createDeferred,
} from '@kelpstep/runtime';
import {type StatementAnswer, errorAnswer} from '@kelpstep/statements';
import type {GroupSettings} from '@kelpstep/targets';

import {DEFAULT_RETRY_AFTER, refusalAnswer} from './dispatch_types';

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
  /** Why sessions of a database are refused; undefined if they may be served. */
  refusal(database: string): StatementAnswer | undefined;
  /**
   * The answer about a database that isn't found. It is denied only as long as
   * no configuration can be missing that has it.
   */
  denial(): StatementAnswer;
  /** Settles once there is a configuration. */
  readonly first: Future<undefined>;
  /** Takes a newer one; false for one that isn't. */
  accept(configuration: GatewayConfiguration): boolean;
}

const OUT_OF_DATE = 'the configuration may be out of date';

/** What a keeper is made of. */
export interface ConfigurationKeeperOptions {
  /** False if a configuration may be missing that is to be in force by now. */
  isCurrent(): boolean;
}

/** Creates a keeper without a configuration. */
export function createConfigurationKeeper(
  options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  let current: GatewayConfiguration | undefined;
  let routes = new Map<string, CallerRoute>();
  let groups = new Map<string, GroupSettings>();
  const first = createDeferred<undefined>();

  function denial(): StatementAnswer {
    return options.isCurrent()
      ? errorAnswer('noDatabase', 'idle')
      : refusalAnswer(OUT_OF_DATE, DEFAULT_RETRY_AFTER);
  }

  return {
    first: first.future,
    current: () => current,
    route: database => routes.get(database),
    group: name => groups.get(name),
    refusal: database =>
      current === undefined || routes.has(database) ? undefined : denial(),
    denial,
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
