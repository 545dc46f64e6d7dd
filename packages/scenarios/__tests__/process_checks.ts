/** Checks at the end of tests that run processes. */
import {ConfirmedEntry, createSessionCaller} from '..';
import {expect} from 'earl';

/** Expects exactly the confirmed entries in the list, each once. */
export async function expectListedOnce(
  group: string,
  proxies: readonly string[],
  list: string,
  confirmed: readonly ConfirmedEntry[],
): Promise<void> {
  const caller = createSessionCaller({group, proxies: () => proxies});
  const found = await caller.list(list);
  const expected = confirmed.map(({entry}) => entry);
  expect(found.sort()).toEqual(expected.sort());
}
