/** Whom a proxy exchanges state with. */
import type {Random} from '@kelpstep/runtime';

import type {MemberEntry} from './member_table';

/**
 * The next proxies on the ring. Each is so watched by as many others, and
 * news that goes round the ring misses nobody.
 */
export function nextOnRing(
  ring: readonly MemberEntry[],
  selfKey: string,
  count: number,
): MemberEntry[] {
  const start = ring.findIndex(({key}) => key === selfKey);
  const next: MemberEntry[] = [];
  for (let step = 1; step <= count && step < ring.length; step++) {
    const entry = ring[(start + step) % ring.length];
    if (entry !== undefined) {
      next.push(entry);
    }
  }
  return next;
}

/** Random proxies other than some; fewer if there are no more. */
export function randomOthers(
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
