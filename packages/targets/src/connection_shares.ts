/**
 * Distribution of a target's connections over proxies. If there are more
 * proxies than the target has connections for, some are connection owners and
 * forward the statements of the others.
 */

/**
 * Part of a target's connection limit that is distributed over proxies. A
 * target keeps the connections of instances that lost power for some seconds;
 * the rest of the limit lets the instances that replace them connect.
 */
const USABLE_CONNECTION_RATIO = 0.64;
/**
 * Connections of an owner at the least: one control connection and two
 * connections for statements. Fewer owners with more connections each need
 * fewer control connections. This leaves room for starting proxies while the
 * target still keeps connections of failed ones.
 */
const MINIMUM_CONNECTION_COUNT = 3;

/**
 * Maximum number of connection owners of a target with this limit; at least 1.
 */
export function maximumOwnerCount(connectionLimit: number): number {
  const usable = connectionLimit * USABLE_CONNECTION_RATIO;
  return Math.max(1, Math.floor(usable / MINIMUM_CONNECTION_COUNT));
}

/**
 * Owners at the least where a bound by data centres applies: any two of them
 * may fail. It doesn't raise the number that the connection limit allows.
 */
const MINIMUM_OWNER_COUNT = 3;

/**
 * Maximum number of connection owners of a target with this limit where
 * connections are opened for client accounts: one for each data centre. Fewer
 * owners have more connections each, so that an account's next statement more
 * often finds one that is open for it.
 */
export function maximumOwnerCountWithAccounts(
  connectionLimit: number,
  dataCentres: number,
): number {
  return Math.min(
    maximumOwnerCount(connectionLimit),
    Math.max(MINIMUM_OWNER_COUNT, dataCentres),
  );
}

/**
 * Number of connections that each of `owners` may hold to a target, including
 * its control connection. `owners` is `Infinity` while it is unknown; the
 * result is then the minimum.
 */
export function connectionsPerOwner(
  connectionLimit: number,
  owners: number,
): number {
  const usable = connectionLimit * USABLE_CONNECTION_RATIO;
  return Math.max(MINIMUM_CONNECTION_COUNT, Math.floor(usable / owners));
}
