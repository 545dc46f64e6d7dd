/**
 * Counts by name. Only the largest are listed, which bounds the number of label
 * values.
 */

/** The count of a name, or the sum of the counts of all other names. */
export interface NamedCount {
  /** `undefined` for the sum of the others. */
  readonly name: string | undefined;
  readonly count: number;
}

/**
 * Counts occurrences of names. All names are kept; only the list is limited.
 */
export interface LargestCounts {
  add(name: string): void;
  /**
   * The largest counts in descending order, then the sum of the others unless
   * it is 0.
   */
  list(): NamedCount[];
}

/** Creates counts of which at most `maximumNames` are listed by name. */
export function createLargestCounts(maximumNames: number): LargestCounts {
  const counts = new Map<string, number>();

  return {
    add: name => void counts.set(name, (counts.get(name) ?? 0) + 1),
    list() {
      const sorted = [...counts]
        .map(([name, count]) => ({name, count}))
        .sort((left, right) => right.count - left.count);
      const rest = sorted
        .slice(maximumNames)
        .reduce((sum, {count}) => sum + count, 0);
      const others = rest > 0 ? [{name: undefined, count: rest}] : [];
      return [...sorted.slice(0, maximumNames), ...others];
    },
  };
}
