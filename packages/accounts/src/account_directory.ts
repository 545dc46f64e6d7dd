/** The client accounts of a configuration, by the digests of their keys. */

/** How much an account may ask, over all proxies together. */
export interface QuotaLimit {
  /** Operations a second. */
  readonly rate: number;
  /** Operations beyond the rate that may come at once after a pause. */
  readonly burst: number;
}

/** A client account. */
export interface ClientAccount {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Undefined: it may ask as much as it likes. */
  readonly quota: QuotaLimit | undefined;
}

/** Accounts of one configuration. */
export interface AccountDirectory {
  /** The account that holds a key; undefined if none does. */
  holderOf(keyDigest: string): ClientAccount | undefined;
  find(account: string): ClientAccount | undefined;
}

/** Creates a directory. */
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
    holderOf: digest => byKey.get(digest),
    find: account => byName.get(account),
  };
}
