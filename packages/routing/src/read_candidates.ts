/** Lists the targets that a read may be sent to, with their freshness. */
import type {MemberView} from '@kelpstep/failover';
import type {LogPosition} from '@kelpstep/protocol';
import {Milliseconds, Task, waitFor} from '@kelpstep/runtime';

import type {ReadTarget} from './read_policy';
import type {ReadOptions} from './read_types';

/**
 * Targets that one read may be sent to; a target is excluded after a failed
 * attempt.
 */
export interface ReadCandidates {
  /** Reachable members that are neither leaving nor excluded. */
  list(requiredPosition: LogPosition): ReadTarget[];
  /**
   * Requests the position that a read must reach to include every record
   * confirmed so far. The data of targets that hold it is no older than the
   * request. Returns undefined if no majority answers.
   */
  requestBarrier(): Task<LogPosition | undefined>;
  /** True before the first barrier, and again after `allowBarrier`. */
  mayRequestBarrier(): boolean;
  /** Allows another barrier, which can raise the known freshness of targets. */
  allowBarrier(): void;
  exclude(memberId: string): void;
  includeAll(): void;
}

/**
 * Round trips within and between data centres that are assumed until they are
 * measured.
 */
const LOCAL_ROUND_TRIP_MS: Milliseconds = 1;
const REMOTE_ROUND_TRIP_MS: Milliseconds = 20;
/** Time after which a majority that has not answered counts as unreachable. */
const BARRIER_TIMEOUT_MS: Milliseconds = 2_000;

interface Barrier {
  readonly requestedAt: Milliseconds;
  readonly position: LogPosition | undefined;
}

export function createReadCandidates(options: ReadOptions): ReadCandidates {
  const {context, record, dataCentre} = options;
  const {view} = record;
  const {timer} = context.runtime;
  const excluded = new Set<string>();
  let barrier: Barrier | undefined;
  let isBarrierUsed = false;

  function freshnessBound({member, freshAt}: MemberView): Milliseconds {
    const known = freshAt ?? -Infinity;
    return barrier?.position !== undefined &&
      view.holds(member.id, barrier.position)
      ? Math.max(known, barrier.requestedAt)
      : known;
  }

  function createCandidate(
    memberView: MemberView,
    requiredPosition: LogPosition,
    primary: string | undefined,
    now: Milliseconds,
  ): ReadTarget {
    const {member} = memberView;
    const pool = record.pool(member.id);
    const isLocal = member.dataCentre === dataCentre;
    const expectedTime = pool?.expectedTime(context.kind) ?? 0;
    const freshAt = freshnessBound(memberView);
    return {
      id: member.id,
      isPrimary: member.id === primary,
      holdsPosition: view.holds(member.id, requiredPosition),
      expectedAge: now + expectedTime - freshAt,
      expectedTime,
      roundTrip:
        pool?.roundTrip() ??
        (isLocal ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS),
    };
  }

  function list(requiredPosition: LogPosition): ReadTarget[] {
    const primary = view.leadership()?.primary;
    const now = timer.now();
    const candidates: ReadTarget[] = [];
    for (const memberView of record.members()) {
      const {reachable, leaving, member} = memberView;
      if (reachable && !leaving && !excluded.has(member.id)) {
        candidates.push(
          createCandidate(memberView, requiredPosition, primary, now),
        );
      }
    }
    return candidates;
  }

  function* requestBarrier(): Task<LogPosition | undefined> {
    const requestedAt = timer.now();
    const deadline = Math.min(
      context.deadline,
      requestedAt + BARRIER_TIMEOUT_MS,
    );
    const position = yield* waitFor(view.readBarrier(deadline));
    barrier = {requestedAt, position};
    isBarrierUsed = true;
    return position;
  }

  return {
    list,
    requestBarrier,
    mayRequestBarrier: () => !isBarrierUsed,
    allowBarrier() {
      isBarrierUsed = false;
    },
    exclude: memberId => excluded.add(memberId),
    includeAll: () => excluded.clear(),
  };
}
