/** Reachability between the hosts of the fake network. */

/** Existing hosts and the partitions between them. */
export interface HostLinks {
  add(host: string): void;
  remove(host: string): void;
  /** Blocks the direction `from` to `to`, or both directions. */
  partition(from: string, to: string, both: boolean): void;
  /** Unblocks both directions. */
  heal(left: string, right: string): void;
  /** Blocked directions. */
  partitions(): ReadonlyArray<readonly [string, string]>;
  /** True if both hosts exist and the direction is not blocked. */
  canReach(from: string, to: string): boolean;
}

/** Creates the state of a network without hosts. */
export function createHostLinks(): HostLinks {
  const hosts = new Set<string>();
  const blockedDirections = new Map<string, readonly [string, string]>();

  function block(from: string, to: string): void {
    blockedDirections.set(`${from} ${to}`, [from, to]);
  }

  return {
    add: host => hosts.add(host),
    remove: host => hosts.delete(host),
    partition(from, to, both) {
      block(from, to);
      if (both) {
        block(to, from);
      }
    },
    heal(left, right) {
      blockedDirections.delete(`${left} ${right}`);
      blockedDirections.delete(`${right} ${left}`);
    },
    partitions: () => [...blockedDirections.values()],
    canReach: (from, to) =>
      hosts.has(from) &&
      hosts.has(to) &&
      !blockedDirections.has(`${from} ${to}`),
  };
}
