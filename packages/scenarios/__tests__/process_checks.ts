/** Checks at the end of tests that run processes. */
import {ConfirmedEntry, createSessionCaller} from '..';
import {expect} from 'earl';

/**
 * Expects exactly the confirmed entries in the list, each once. A new session
 * may read data as old as the group's `readStaleness`, so the list is read in a
 * session that has written after all entries were confirmed.
 */
export async function expectListedOnce(
  group: string,
  proxies: readonly string[],
  list: string,
  confirmed: readonly ConfirmedEntry[],
): Promise<void> {
  const caller = createSessionCaller({group, proxies: () => proxies});
  await caller.append(`after ${list}`, 'read your writes');
  const found = await caller.list(list);
  const expected = confirmed.map(({entry}) => entry);
  expect(found.sort()).toEqual(expected.sort());
}
