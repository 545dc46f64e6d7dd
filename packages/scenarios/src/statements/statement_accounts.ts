/** Client accounts of a statement simulation. */
import type {ClientAccount, QuotaLimit} from '@kelpstep/accounts';

/** Creates accounts, each with one key and the same quota. */
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
