/** Which hosts exist and which of them can reach which. */

/** The links between hosts. */
export interface HostLinks {
  add(host: string): void;
  remove(host: string): void;
  /** Cuts one direction, or both. */
  cut(from: string, to: string, both: boolean): void;
  /** Ends the cut in both directions. */
  heal(left: string, right: string): void;
  /** Directions that are cut. */
  cuts(): ReadonlyArray<readonly [string, string]>;
  /** True if both hosts exist and the direction is not cut. */
  canPass(from: string, to: string): boolean;
}

/** Creates links without hosts. */
export function createHostLinks(): HostLinks {
  const present = new Set<string>();
  const cutDirections = new Map<string, readonly [string, string]>();

  function cutOneWay(from: string, to: string): void {
    cutDirections.set(`${from} ${to}`, [from, to]);
  }

  return {
    add: host => present.add(host),
    remove: host => present.delete(host),
    cut(from, to, both) {
      cutOneWay(from, to);
      if (both) {
        cutOneWay(to, from);
      }
    },
    heal(left, right) {
      cutDirections.delete(`${left} ${right}`);
      cutDirections.delete(`${right} ${left}`);
    },
    cuts: () => [...cutDirections.values()],
    canPass: (from, to) =>
      present.has(from) &&
      present.has(to) &&
      !cutDirections.has(`${from} ${to}`),
  };
}
