/** Selects the target to promote among the targets of a held group. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type ChoiceVerdict,
  type ConsideredTarget,
  type TimedAnswer,
} from './choice_report';
import {type SuccessorCandidate, chooseSuccessor} from './choose_successor';
import type {HeldTarget, ReplicationHold} from './replication_hold';

/** A choice, successful or not, with every target of the group. */
export interface Selection {
  readonly successor: SuccessorCandidate | undefined;
  readonly considered: readonly ConsideredTarget[];
}

export interface SelectionOptions {
  readonly hold: ReplicationHold;
  readonly now: Milliseconds;
  /** Only answers to requests since this time count. */
  readonly since: Milliseconds;
  /** Target to select if it qualifies. */
  readonly preferred: string;
  /**
   * True if members that report the primary role may be passed over, because
   * they are demoted before an order.
   */
  readonly mayLead: boolean;
}

function toCandidate({link}: HeldTarget, received: LogPosition) {
  const {isLeaving, dataCentre} = link.registration();
  return {target: link.target, received, isLeaving, dataCentre};
}

/**
 * Selects a successor. If the primary is demoted, nothing is acknowledged any
 * more and every target that has reached its log end qualifies. Otherwise all
 * other targets must be stopped.
 */
export function selectSuccessor(options: SelectionOptions): Selection {
  const {hold, now, since, preferred, mayLead} = options;
  const members = hold.members();
  const demotedLogEnd = hold.demotedLogEnd();

  function isFresh(answer: TimedAnswer | undefined): answer is TimedAnswer {
    return answer !== undefined && answer.requestedAt >= since;
  }

  function candidatesThat(
    qualifies: (answer: TimedAnswer) => boolean,
  ): SuccessorCandidate[] {
    return members.flatMap(member =>
      isFresh(member.answer) && qualifies(member.answer)
        ? [toCandidate(member, member.answer.status.received)]
        : [],
    );
  }

  function choose(): SuccessorCandidate | undefined {
    if (hold.isOver()) {
      return undefined;
    }
    const stopped = candidatesThat(hold.isStopped);
    const leading = mayLead
      ? candidatesThat(({status}) => status.role === 'primary')
      : [];
    const unanswered = members.length - stopped.length - leading.length;
    if (unanswered === 0) {
      const longest = {
        stopped,
        unanswered,
        demotedLogEnd: undefined,
        preferred,
      };
      return chooseSuccessor(longest);
    }
    const replicas = candidatesThat(({status}) => status.role === 'replica');
    return demotedLogEnd === undefined
      ? undefined
      : chooseSuccessor({
          stopped: replicas,
          unanswered,
          demotedLogEnd,
          preferred,
        });
  }

  const successor = choose();

  function judge({link, answer}: HeldTarget): ChoiceVerdict {
    if (link.target === successor?.target) {
      return 'selected';
    }
    if (!isFresh(answer)) {
      return 'unanswered';
    }
    if (answer.status.role === 'primary') {
      return 'primary';
    }
    const isBehind =
      successor !== undefined &&
      compareLogPositions(answer.status.received, successor.received) < 0;
    if (isBehind) {
      return 'behind';
    }
    return hold.isStopped(answer) ? 'complete' : 'not stopped';
  }

  function describe(
    target: string,
    answer: TimedAnswer | undefined,
    verdict: ChoiceVerdict,
  ): ConsideredTarget {
    const age = answer && now - answer.requestedAt;
    return {target, status: answer?.status, age, verdict};
  }

  const considered = members.map(member =>
    describe(member.link.target, member.answer, judge(member)),
  );
  if (hold.primary !== undefined) {
    const verdict = demotedLogEnd === undefined ? 'replaced' : 'demoted';
    const {target} = hold.primary.link;
    considered.unshift(describe(target, hold.primaryAnswer(), verdict));
  }
  return {successor, considered};
}
