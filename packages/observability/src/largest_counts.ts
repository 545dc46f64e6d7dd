/** Counts by name of which only the largest are told, so that labels stay few. */

/** A count of one name, or of all others together. */
export interface NamedCount {
  /** Undefined: the others. */
  readonly name: string | undefined;
  readonly count: number;
}

/** Counts by name. */
export interface LargestCounts {
  add(name: string): void;
  /** The largest first; the rest as one, if there is any. */
  list(): NamedCount[];
}

/** Creates counts that tell at most so many names. */
export function createLargestCounts(most: number): LargestCounts {
  const counts = new Map<string, number>();

  return {
    add: name => void counts.set(name, (counts.get(name) ?? 0) + 1),
    list() {
      const sorted = [...counts]
        .map(([name, count]) => ({name, count}))
        .sort((left, right) => right.count - left.count);
      const rest = sorted.slice(most).reduce((sum, {count}) => sum + count, 0);
      const others = rest > 0 ? [{name: undefined, count: rest}] : [];
      return [...sorted.slice(0, most), ...others];
    },
  };
}
