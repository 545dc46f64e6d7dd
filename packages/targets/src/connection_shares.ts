/**
 * How proxies share a target's connections. Where there are more proxies than a
 * target has connections for, some hold them and the others send through those.
 */

import type {GroupSettings} from './registration';

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
/**
 * Where connections serve one account each, fewer holders with more connections find
 * the account's open more often.
 */
const MINIMUM_SHARE_PER_ACCOUNT = 6;

type ShareSettings = Pick<GroupSettings, 'connectionLimit' | 'isPerAccount'>;

function minimumShare({isPerAccount}: ShareSettings): number {
  return isPerAccount ? MINIMUM_SHARE_PER_ACCOUNT : MINIMUM_SHARE;
}

/** Proxies that may hold connections to a group's targets. */
export function mostHolders(settings: ShareSettings): number {
  const usable = settings.connectionLimit * CONNECTION_USE;
  return Math.max(1, Math.floor(usable / minimumShare(settings)));
}

/** Connections of one holder among so many; `Infinity` if that isn't known. */
export function shareOfHolder(
  settings: ShareSettings,
  holders: number,
): number {
  const usable = settings.connectionLimit * CONNECTION_USE;
  return Math.max(minimumShare(settings), Math.floor(usable / holders));
}
