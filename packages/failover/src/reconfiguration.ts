/** Carries out changes of members that the manifest wants, one at a time. */
import {TargetStatus, targetReconfigure} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import {nextConfiguration} from './membership_change';
import type {PromotionContext} from './promotion';

/** Asks the primary for changes until none is due. */
export interface Reconfigurer {
  /** Asks for what is due; watchers of a higher rank hold back for a while. */
  changeMembers(rank: number): void;
}

/**
 * Creates a reconfigurer. A request may be lost, late or repeated, and several
 * watchers may ask: the primary takes one only in place of the configuration
 * that whoever asks has seen confirmed.
 */
export function createReconfigurer({
  runtime,
  timings,
  state,
}: PromotionContext): Reconfigurer {
  const {timer} = runtime;
  let dueSince: Milliseconds | undefined;
  let askedAt = -Infinity;

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
      statuses: heardStatuses(),
      catchUpRecords: timings.catchUpRecords,
    });
    if (next === undefined) {
      dueSince = undefined;
      return;
    }
    dueSince ??= timer.now();
    const due = dueSince + rank * timings.rankDelay;
    if (timer.now() >= Math.max(due, askedAt + timings.followSpacing)) {
      askedAt = timer.now();
      const {term} = leadership;
      const request = {term, replaces: configuration.at, configuration: next};
      primary?.request(targetReconfigure, request, timings.requestTimeout);
    }
  }

  function heardStatuses(): TargetStatus[] {
    return state.links().flatMap(link => {
      const status = link.status();
      return link.condition() === 'open' && status !== undefined
        ? [status]
        : [];
    });
  }

  return {changeMembers};
}
