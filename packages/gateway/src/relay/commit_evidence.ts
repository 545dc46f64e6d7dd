/** Asks the other proxies which commits of a group were acknowledged to them. */
import {type Future, type Milliseconds, mapFuture} from '@kelpstep/runtime';
import type {CommitEvidence} from '@kelpstep/succession';

import type {PrimaryCheckOptions} from './primary_check';
import {relayCommits} from './relay_messages';

/** Asks each peer once; one that doesn't answer settles with undefined. */
export type EvidenceRequest = (
  group: string,
) => ReadonlyArray<Future<CommitEvidence | undefined>>;

/** A round trip between regions, and one more to connect. */
const TIMEOUT_MS: Milliseconds = 150;

export function createEvidenceRequest({
  client,
  peers,
}: Pick<PrimaryCheckOptions, 'client' | 'peers'>): EvidenceRequest {
  return group =>
    peers(group)
      .filter(({relayAddress}) => client.isUsable(relayAddress))
      .map(({proxy, relayAddress}) =>
        mapFuture(
          client.request(relayAddress, relayCommits, {group}, TIMEOUT_MS),
          reply => (reply.ok ? {...reply.val, proxy} : undefined),
        ),
      );
}
