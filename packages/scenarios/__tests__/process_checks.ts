/** What must hold at the end of a test on processes. */
import {ConfirmedEntry, createSessionCaller} from '..';
import {expect} from 'earl';

/** Checks that each confirmed entry is in the list exactly once. */
export async function expectEachOnce(
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
