/** Looks up the client accounts of a configuration by name or key digest. */

/** Limit of an account's operations over all proxies together. */
export interface QuotaLimit {
  /** Operations per second. */
  readonly rate: number;
  /** Operations beyond the rate that may run at once after an idle time. */
  readonly burst: number;
}

/**
 * An account whose quota is charged for operations of the holders of its keys.
 */
export interface ClientAccount {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Undefined for an unlimited account. */
  readonly quota: QuotaLimit | undefined;
}

/** Index of the accounts of one configuration by name and by key digest. */
export interface AccountDirectory {
  /** The account with this key digest; undefined if there is none. */
  findByKey(keyDigest: string): ClientAccount | undefined;
  find(account: string): ClientAccount | undefined;
}

/**
 * Indexes the accounts; of accounts with the same name or key the last counts.
 */
export function createAccountDirectory(
  accounts: readonly ClientAccount[],
): AccountDirectory {
  const byName = new Map(accounts.map(each => [each.name, each]));
  const byKey = new Map(
    accounts.flatMap(each =>
      each.keyDigests.map(digest => [digest, each] as const),
    ),
  );
  return {
    findByKey: digest => byKey.get(digest),
    find: account => byName.get(account),
  };
}
