/**
 * How proxies share a target's connections. Where there are more proxies than a
 * target has connections for, some hold them and the others send through those.
 */

/**
 * Part of a target's connections that proxies share for good. A target holds
 * those of instances that lost power for seconds: the rest lets the instances
 * that start in their place reach it.
 */
const CONNECTION_USE = 0.64;
/**
 * One connection for questions, two for statements. Fewer holders with more
 * connections each need fewer of them for questions: a target has room for the
 * proxies that start anew while it holds those of the dead.
 */
const MINIMUM_SHARE = 3;

/** Proxies that may hold connections to a target with this limit. */
export function mostHolders(connectionLimit: number): number {
  const usable = connectionLimit * CONNECTION_USE;
  return Math.max(1, Math.floor(usable / MINIMUM_SHARE));
}

/** Connections of one holder among so many; `Infinity` if that isn't known. */
export function shareOfHolder(
  connectionLimit: number,
  holders: number,
): number {
  const usable = connectionLimit * CONNECTION_USE;
  return Math.max(MINIMUM_SHARE, Math.floor(usable / holders));
}
