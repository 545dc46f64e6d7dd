/** The configuration that is in force in a gateway. */
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

import {DEFAULT_RETRY_AFTER_MS, refusalAnswer} from './dispatch_types';

/**
 * Which commits a read must observe. `primary`: all that were acknowledged
 * before it. `bounded`: all that are older than the maximum staleness.
 * `readYourWrites`: the same as `bounded`, and all commits of the session.
 */
export type Freshness = 'primary' | 'bounded' | 'readYourWrites';

/** How the sessions of a database name are served. */
export interface CallerRoute {
  readonly database: string;
  readonly freshness: Freshness;
  readonly group: string;
  /** Timeout of one statement, counted from its arrival. */
  readonly timeout: Milliseconds;
  /** Latency objective of a whole operation. */
  readonly targetLatency: Milliseconds;
  /** Priority of the statements; 0 is the highest. */
  readonly priority: number;
  readonly maximumStaleness: Milliseconds;
  /** True if callers need no key. */
  readonly isPublic: boolean;
}

/** Routes, groups and accounts of one configuration version. */
export interface GatewayConfiguration {
  /** Version of the configuration; increases with each change. */
  readonly version: number;
  readonly routes: readonly CallerRoute[];
  readonly groups: readonly GroupSettings[];
  /** Undefined if callers are served without a key. */
  readonly accounts: readonly ClientAccount[] | undefined;
  /** Time after which an idle transaction is rolled back. */
  readonly transactionIdle: Milliseconds;
}

/** The database that a session requests, and the digest of its key. */
export interface SessionIdentity {
  readonly database: string;
  /** Digest of the key that the caller presented. */
  readonly keyDigest: string;
}

/** Result of admission: the route and account of a session, or a refusal. */
export type SessionAdmission =
  | {
      readonly kind: 'admitted';
      readonly route: CallerRoute;
      /** Undefined if no key is needed and the presented one is unknown. */
      readonly account: ClientAccount | undefined;
    }
  | {readonly kind: 'refused'; readonly answer: StatementAnswer};

/** The newest accepted configuration, and decisions based on it. */
export interface ActiveConfiguration {
  current(): GatewayConfiguration | undefined;
  group(name: string): GroupSettings | undefined;
  /** An account's quota; undefined if the account is unlimited. */
  limitOf(account: string): VersionedLimit | undefined;
  /** True if any account has a quota; undefined without a configuration. */
  hasLimits(): boolean | undefined;
  /**
   * Decides whether a session is served. An unknown database or key is denied
   * if the configuration is current. Otherwise a newer configuration may
   * contain it, and the session is refused with a time to retry.
   */
  admit(identity: SessionIdentity): SessionAdmission;
  /**
   * Name of the account that a key belongs to; undefined if the key is unknown
   * or may have been revoked.
   */
  trustedAccount(keyDigest: string): string | undefined;
  /** Settles once there is a configuration. */
  readonly first: Future<undefined>;
  /** Accepts a configuration; false unless it is newer than the current one. */
  accept(configuration: GatewayConfiguration): boolean;
}

const CONFIGURATION_OUT_OF_DATE = 'the configuration may be out of date';
const KEYS_OUT_OF_DATE = 'the key may have been taken away';
const NO_CONFIGURATION = 'no configuration yet';

/** Tells how far the known configuration can be relied on. */
export interface ActiveConfigurationOptions {
  /** False if the known configuration may be older than its staleness bound. */
  isCurrent(): boolean;
  /** False if keys may have been revoked unnoticed; no key is accepted then. */
  mayTrustKeys(): boolean;
}

function refuse(answer: StatementAnswer): SessionAdmission {
  return {kind: 'refused', answer};
}

function refuseTemporarily(reason: string): SessionAdmission {
  return refuse(refusalAnswer(reason, DEFAULT_RETRY_AFTER_MS));
}

/**
 * Creates the state before the first configuration, which refuses all sessions
 * with a time to retry.
 */
export function createActiveConfiguration(
  options: ActiveConfigurationOptions,
): ActiveConfiguration {
  let current: GatewayConfiguration | undefined;
  let routes = new Map<string, CallerRoute>();
  let groups = new Map<string, GroupSettings>();
  let accounts: AccountDirectory | undefined;
  const first = createDeferred<undefined>();

  function deny(name: 'noDatabase' | 'notAuthorized'): SessionAdmission {
    return options.isCurrent()
      ? refuse(errorAnswer(name, 'idle'))
      : refuseTemporarily(CONFIGURATION_OUT_OF_DATE);
  }

  function admit({database, keyDigest}: SessionIdentity): SessionAdmission {
    if (current === undefined) {
      return refuseTemporarily(NO_CONFIGURATION);
    }
    const route = routes.get(database);
    if (route === undefined) {
      return deny('noDatabase');
    }
    const account = accounts?.findByKey(keyDigest);
    if (accounts === undefined || route.isPublic) {
      return {kind: 'admitted', route, account};
    }
    if (account === undefined) {
      return deny('notAuthorized');
    }
    return options.mayTrustKeys()
      ? {kind: 'admitted', route, account}
      : refuseTemporarily(KEYS_OUT_OF_DATE);
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
    trustedAccount: keyDigest =>
      options.mayTrustKeys() ? accounts?.findByKey(keyDigest)?.name : undefined,
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
