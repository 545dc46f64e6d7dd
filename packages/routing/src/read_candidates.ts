/** Which targets a read may go to, and how fresh they are. */
import type {MemberView} from '@kelpstep/failover';
import type {LogPosition} from '@kelpstep/protocol';
import {Milliseconds, Task, waitFor} from '@kelpstep/runtime';

import type {ReadTarget} from './read_policy';
import type {ReadOptions} from './read_types';

/** The targets that one read may go to. */
export interface ReadCandidates {
  /** Reachable members that take work and were not excluded. */
  list(wanted: LogPosition): ReadTarget[];
  /**
   * Asks what a read has to see to miss nothing confirmed before; whoever
   * holds that is as fresh as the question. `undefined`: no majority answers.
   */
  askBarrier(): Task<LogPosition | undefined>;
  /** True if no barrier was asked yet, or `forgetBarrier` came since. */
  mayAskBarrier(): boolean;
  /** Allows another barrier, which makes targets fresher. */
  forgetBarrier(): void;
  exclude(memberId: string): void;
  includeAll(): void;
}

/** A round trip within a data centre, before it is measured. */
const NEAR_ROUND_TRIP: Milliseconds = 1;
const FAR_ROUND_TRIP: Milliseconds = 20;
/** A majority that doesn't answer for this long is out of reach. */
const BARRIER_PATIENCE: Milliseconds = 2_000;

interface Barrier {
  readonly askedAt: Milliseconds;
  readonly position: LogPosition | undefined;
}

/** Creates the candidates of one read. */
export function createReadCandidates(options: ReadOptions): ReadCandidates {
  const {context, record, dataCentre} = options;
  const {view} = record;
  const {timer} = context.runtime;
  const excluded = new Set<string>();
  let barrier: Barrier | undefined;
  let barrierIsSpent = false;

  function boundOf({member, freshAt}: MemberView): Milliseconds {
    const known = freshAt ?? -Infinity;
    return barrier?.position !== undefined &&
      view.holds(member.id, barrier.position)
      ? Math.max(known, barrier.askedAt)
      : known;
  }

  function candidateOf(
    memberView: MemberView,
    wanted: LogPosition,
    primary: string | undefined,
    now: Milliseconds,
  ): ReadTarget {
    const {member} = memberView;
    const pool = record.pool(member.id);
    const isNear = member.dataCentre === dataCentre;
    const expectedTime = pool?.expectedTime(context.kind) ?? 0;
    const freshAt = boundOf(memberView);
    return {
      id: member.id,
      isPrimary: member.id === primary,
      holdsPosition: view.holds(member.id, wanted),
      expectedAge: now + expectedTime - freshAt,
      expectedTime,
      roundTrip:
        pool?.roundTrip() ?? (isNear ? NEAR_ROUND_TRIP : FAR_ROUND_TRIP),
    };
  }

  function list(wanted: LogPosition): ReadTarget[] {
    const primary = view.leadership()?.primary;
    const now = timer.now();
    const candidates: ReadTarget[] = [];
    for (const memberView of record.members()) {
      const {reachable, leaving, member} = memberView;
      if (reachable && !leaving && !excluded.has(member.id)) {
        candidates.push(candidateOf(memberView, wanted, primary, now));
      }
    }
    return candidates;
  }

  function* askBarrier(): Task<LogPosition | undefined> {
    const askedAt = timer.now();
    const deadline = Math.min(context.deadline, askedAt + BARRIER_PATIENCE);
    const position = yield* waitFor(view.readBarrier(deadline));
    barrier = {askedAt, position};
    barrierIsSpent = true;
    return position;
  }

  return {
    list,
    askBarrier,
    mayAskBarrier: () => !barrierIsSpent,
    forgetBarrier() {
      barrierIsSpent = false;
    },
    exclude: memberId => excluded.add(memberId),
    includeAll: () => excluded.clear(),
  };
}
