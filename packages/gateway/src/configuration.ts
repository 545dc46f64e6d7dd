/** The configuration in force, as the gateway uses it. */
import {
  type AccountDirectory,
  type ClientAccount,
  type VersionedLimit,
  createAccountDirectory,
} from '@kelpstep/accounts';
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
  /** True: callers need no key. */
  readonly isPublic: boolean;
}

/** A whole configuration. */
export interface GatewayConfiguration {
  /** Rises with each change. */
  readonly version: number;
  readonly routes: readonly CallerRoute[];
  readonly groups: readonly GroupSettings[];
  /** Undefined: whoever comes is served. */
  readonly accounts: readonly ClientAccount[] | undefined;
  /** A transaction that is idle for longer is rolled back. */
  readonly transactionIdle: Milliseconds;
}

/** What a session asks for, and by which key. */
export interface SessionIdentity {
  readonly database: string;
  /** Digest of the key that the caller gave. */
  readonly keyDigest: string;
}

/** Whether a session may be served now, and as whose. */
export type SessionAdmission =
  | {
      readonly kind: 'admitted';
      readonly route: CallerRoute;
      /** Undefined where nobody needs a key, or none that was given is known. */
      readonly account: ClientAccount | undefined;
    }
  | {readonly kind: 'refused'; readonly answer: StatementAnswer};

/** Holds the newest configuration. */
export interface ConfigurationKeeper {
  current(): GatewayConfiguration | undefined;
  group(name: string): GroupSettings | undefined;
  /** An account's quota; undefined if it may ask as much as it likes. */
  limitOf(account: string): VersionedLimit | undefined;
  /** True if any account has a quota; undefined without a configuration. */
  hasLimits(): boolean | undefined;
  /**
   * Judges a session by the configuration in force. What isn't found is denied
   * only as long as no configuration can be missing that has it; it is refused
   * for now otherwise.
   */
  admit(identity: SessionIdentity): SessionAdmission;
  /** Name of the account that a key stands for; undefined in doubt. */
  trustedHolder(keyDigest: string): string | undefined;
  /** Settles once there is a configuration. */
  readonly first: Future<undefined>;
  /** Takes a newer one; false for one that isn't. */
  accept(configuration: GatewayConfiguration): boolean;
}

const OUT_OF_DATE = 'the configuration may be out of date';
const KEYS_OUT_OF_DATE = 'the key may have been taken away';
const NO_CONFIGURATION = 'no configuration yet';

/** What a keeper is made of. */
export interface ConfigurationKeeperOptions {
  /** False if a configuration may be missing that is to be in force by now. */
  isCurrent(): boolean;
  /** False if nobody may be served by a key that may have been taken away. */
  mayTrustKeys(): boolean;
}

function refuse(answer: StatementAnswer): SessionAdmission {
  return {kind: 'refused', answer};
}

function refuseForNow(reason: string): SessionAdmission {
  return refuse(refusalAnswer(reason, DEFAULT_RETRY_AFTER));
}

/** Creates a keeper without a configuration. */
export function createConfigurationKeeper(
  options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  let current: GatewayConfiguration | undefined;
  let routes = new Map<string, CallerRoute>();
  let groups = new Map<string, GroupSettings>();
  let accounts: AccountDirectory | undefined;
  const first = createDeferred<undefined>();

  function deny(name: 'noDatabase' | 'notAuthorized'): SessionAdmission {
    return options.isCurrent()
      ? refuse(errorAnswer(name, 'idle'))
      : refuseForNow(OUT_OF_DATE);
  }

  function admit({database, keyDigest}: SessionIdentity): SessionAdmission {
    if (current === undefined) {
      return refuseForNow(NO_CONFIGURATION);
    }
    const route = routes.get(database);
    if (route === undefined) {
      return deny('noDatabase');
    }
    const account = accounts?.holderOf(keyDigest);
    if (accounts === undefined || route.isPublic) {
      return {kind: 'admitted', route, account};
    }
    if (account === undefined) {
      return deny('notAuthorized');
    }
    return options.mayTrustKeys()
      ? {kind: 'admitted', route, account}
      : refuseForNow(KEYS_OUT_OF_DATE);
  }

  function limitOf(account: string): VersionedLimit | undefined {
    const quota = accounts?.find(account)?.quota;
    return quota === undefined || current === undefined
      ? undefined
      : {account, version: current.version, ...quota};
  }

  return {
    first: first.future,
    current: () => current,
    group: name => groups.get(name),
    limitOf,
    hasLimits: () =>
      current &&
      (current.accounts ?? []).some(({quota}) => quota !== undefined),
    admit,
    trustedHolder: keyDigest =>
      options.mayTrustKeys() ? accounts?.holderOf(keyDigest)?.name : undefined,
    accept(configuration) {
      if (current !== undefined && configuration.version <= current.version) {
        return false;
      }
      current = configuration;
      routes = new Map(
        configuration.routes.map(route => [route.database, route]),
      );
      groups = new Map(configuration.groups.map(group => [group.group, group]));
      accounts =
        configuration.accounts &&
        createAccountDirectory(configuration.accounts);
      first.settle(undefined);
      return true;
    },
  };
}
