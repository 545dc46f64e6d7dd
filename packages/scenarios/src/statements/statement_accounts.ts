/** Client accounts of a statement world. */
import type {ClientAccount, QuotaLimit} from '@kelpstep/accounts';

/** So many accounts, each with one key and the same quota. */
export function createAccounts(
  count: number,
  quota: QuotaLimit | undefined,
): ClientAccount[] {
  return Array.from({length: count}, (unused, index) => ({
    name: `account-${index + 1}`,
    keyDigests: [`digest-${index + 1}`],
    quota,
  }));
}
