/** Which targets of a group this proxy reaches, as told to its peers. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {PeerView} from '@kelpstep/succession';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

/**
 * How long a primary counts as reached after its last answered request was
 * sent: the interval between two probes and a round trip between regions.
 */
const PRIMARY_ANSWER_WINDOW_MS: Milliseconds = 450;

function hasAnsweredRecently(link: TargetLink, now: Milliseconds): boolean {
  const age = now - link.lastContactAt();
  return link.isReached() && age < PRIMARY_ANSWER_WINDOW_MS;
}

/**
 * Returns what this proxy reaches of a group; of an unknown one, nothing. A
 * replica counts as reached until its probes fail: a denial may have the
 * primary replaced.
 */
export function viewOfGroup(
  group: TargetGroup | undefined,
  now: Milliseconds,
): Required<PeerView> {
  const primary = group?.leader();
  const replicas = group?.links().filter(link => link !== primary) ?? [];
  const isAnyReached = replicas.some(
    link => link.isReached() && link.lastContactAt() !== -Infinity,
  );
  return {
    reachesPrimary: primary !== undefined && hasAnsweredRecently(primary, now),
    reachesReplica: !group?.hasSynchronousReplicas() || isAnyReached,
  };
}
