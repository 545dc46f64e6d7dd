/** Changes a group's configuration to the manifest's members, step by step. */
import {TargetStatus, targetReconfigure} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import {nextConfiguration} from './membership_change';
import type {PromotionContext} from './promotion';

/** Requests configuration changes from the primary until none is due. */
export interface Reconfigurer {
  /**
   * Requests the change that is due. A change is due later at a higher rank.
   */
  changeMembers(rank: number): void;
}

/**
 * Creates a reconfigurer. Requests may be lost, delayed, repeated or sent by
 * several proxies. This is safe because each names the confirmed configuration
 * that it replaces, and the primary accepts it only while that one is current.
 */
export function createReconfigurer({
  runtime,
  timings,
  state,
}: PromotionContext): Reconfigurer {
  const {timer} = runtime;
  let dueSince: Milliseconds | undefined;
  let requestedAt = -Infinity;

  function changeMembers(rank: number): void {
    const configuration = state.members.configuration();
    const leadership = state.leadership();
    const primary = state.link(leadership?.primary ?? '');
    if (configuration === undefined || leadership === undefined) {
      return;
    }
    const next = nextConfiguration({
      configuration,
      leadership,
      wanted: state.members.group().members,
      manifestVersion: state.members.manifestVersion(),
      confirmed: state.confirmed().at,
      statuses: reachableStatuses(),
      catchUpRecords: timings.catchUpRecords,
    });
    if (next === undefined) {
      dueSince = undefined;
      return;
    }
    dueSince ??= timer.now();
    const due = dueSince + rank * timings.rankDelay;
    if (timer.now() >= Math.max(due, requestedAt + timings.followInterval)) {
      requestedAt = timer.now();
      const {term} = leadership;
      const request = {term, replaces: configuration.at, configuration: next};
      primary?.request(targetReconfigure, request, timings.requestTimeout);
    }
  }

  function reachableStatuses(): TargetStatus[] {
    return state.links().flatMap(link => {
      const status = link.status();
      return link.condition() === 'open' && status !== undefined
        ? [status]
        : [];
    });
  }

  return {changeMembers};
}
