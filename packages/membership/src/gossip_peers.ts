/** Selection of the peers that a proxy exchanges state with. */
import type {Random} from '@kelpstep/runtime';

import type {MemberEntry} from './member_table';

/**
 * The next proxies on the ring. Each proxy is thus monitored by `count` others,
 * and updates that travel along the ring reach every proxy.
 */
export function ringSuccessors(
  ring: readonly MemberEntry[],
  selfKey: string,
  count: number,
): MemberEntry[] {
  const start = ring.findIndex(({key}) => key === selfKey);
  const successors: MemberEntry[] = [];
  for (let step = 1; step <= count && step < ring.length; step++) {
    const entry = ring[(start + step) % ring.length];
    if (entry !== undefined) {
      successors.push(entry);
    }
  }
  return successors;
}

/** Up to `count` random proxies without the excluded ones. */
export function randomPeers(
  ring: readonly MemberEntry[],
  excludedKeys: ReadonlySet<string>,
  count: number,
  random: Random,
): MemberEntry[] {
  const others = ring.filter(({key}) => !excludedKeys.has(key));
  const picked: MemberEntry[] = [];
  while (picked.length < count && others.length > 0) {
    const index = random.integer(0, others.length - 1);
    picked.push(...others.splice(index, 1));
  }
  return picked;
}
