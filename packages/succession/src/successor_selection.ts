/** Selects the target to promote among the targets of a held group. */
import {
  EMPTY_LOG_END,
  type LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {LastPrimary} from './absent_primary';
import {
  type ChoiceVerdict,
  type ConsideredTarget,
  type TimedAnswer,
} from './choice_report';
import {
  type SuccessorCandidate,
  chooseLongestLog,
  chooseSuccessor,
} from './choose_successor';
import type {CommitInquiry, RemainingLogs} from './commit_inquiry';
import type {HeldTarget, ReplicationHold} from './replication_hold';

/** A choice, successful or not, with every target of the group. */
export interface Selection {
  readonly successor: SuccessorCandidate | undefined;
  readonly considered: readonly ConsideredTarget[];
  /** Log end of the last primary, if that vouched for its log. */
  readonly vouchedEnd: LogPosition | undefined;
}

export interface SelectionOptions {
  readonly hold: ReplicationHold;
  readonly inquiry: CommitInquiry;
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
  /**
   * True if the demoted primary may be selected while a target has not answered.
   */
  readonly mayKeepPrimary: boolean;
}

function toCandidate(
  {link}: Pick<HeldTarget, 'link'>,
  received: LogPosition,
): SuccessorCandidate {
  const {isLeaving, dataCentre} = link.registration();
  return {target: link.target, received, isLeaving, dataCentre};
}

/**
 * Selects a successor. If the primary is demoted, nothing is acknowledged any
 * more and every target that has reached its log end qualifies. Otherwise all
 * other targets must be stopped, and the longest log among them must not lack a
 * commit that a target outside the table received. If it does, or may, the
 * demoted primary itself qualifies. A last primary that an earlier change has
 * demoted is one of the stopped targets, and vouches for its own log.
 */
export function selectSuccessor(options: SelectionOptions): Selection {
  const {hold, inquiry, now, since, preferred, mayLead} = options;
  const completeEnd = hold.completeEnd();
  const members = hold.members();
  const demotedLogEnd = hold.demotedLogEnd();
  let incomplete: string | undefined;
  let vouchedEnd: LogPosition | undefined;

  function isFresh(answer: TimedAnswer | undefined): answer is TimedAnswer {
    return answer !== undefined && answer.requestedAt >= since;
  }

  function candidatesThat(
    qualifies: (answer: TimedAnswer) => boolean,
  ): SuccessorCandidate[] {
    return members.flatMap(member =>
      isFresh(member.answer) &&
      !member.link.isDown() &&
      qualifies(member.answer)
        ? [toCandidate(member, member.answer.status.received)]
        : [],
    );
  }

  /** The primary, if it has been demoted and still holds its log. */
  function demotedPrimary(): SuccessorCandidate | undefined {
    const {primary} = hold;
    const isKnown =
      primary !== undefined &&
      demotedLogEnd !== undefined &&
      isFresh(hold.primaryAnswer());
    return isKnown ? toCandidate(primary, demotedLogEnd) : undefined;
  }

  /** The newest primary that the change or the group's records know. */
  function lastPrimary(): LastPrimary | undefined {
    const recorded = inquiry.lastPrimary();
    const {primary} = hold;
    return primary !== undefined && primary.term >= (recorded?.term ?? 0)
      ? {target: primary.link.target, term: primary.term}
      : recorded;
  }

  /**
   * Log end of the last primary if it is one of the stopped targets and still in
   * the term that it led: only a newer term can remove commits from its log, so
   * that log holds them all. One that ends before another log was lost.
   */
  function lastPrimaryEnd(
    stopped: readonly SuccessorCandidate[],
  ): LogPosition | undefined {
    const last = lastPrimary();
    const member = members.find(({link}) => link.target === last?.target);
    const candidate = stopped.find(({target}) => target === last?.target);
    const isInItsTerm = member?.answer?.status.term === last?.term;
    if (last === undefined || candidate === undefined || !isInItsTerm) {
      return undefined;
    }
    const end = candidate.received;
    const isNewest = members.every(
      ({answer}) => answer === undefined || answer.status.term <= last.term,
    );
    const isWhole =
      compareLogPositions(end, EMPTY_LOG_END) > 0 &&
      stopped.every(({received}) => compareLogPositions(received, end) <= 0);
    return isNewest && isWhole ? end : undefined;
  }

  /** The longest log of the stopped targets, which are all targets. */
  function chooseLongest(
    stopped: readonly SuccessorCandidate[],
  ): SuccessorCandidate | undefined {
    vouchedEnd = lastPrimaryEnd(stopped);
    const primaryEnd = demotedLogEnd ?? vouchedEnd;
    function logsUpTo(end: LogPosition): RemainingLogs {
      return {term: hold.primary?.term, end, primaryEnd};
    }
    const choice = chooseLongestLog({
      stopped,
      completeEnd,
      primary: demotedPrimary(),
      preferred,
      isMissingCommit: end => inquiry.isMissingCommit(logsUpTo(end)),
      mayMissCommit: end => inquiry.mayMissCommit(logsUpTo(end)),
    });
    incomplete = choice.incomplete;
    const {successor: longest} = choice;
    const isUpToPrimary =
      longest !== undefined &&
      demotedLogEnd !== undefined &&
      compareLogPositions(longest.received, demotedLogEnd) >= 0;
    return isUpToPrimary || inquiry.isComplete() ? longest : undefined;
  }

  /** A log that is known to hold all commits, while targets are unanswered. */
  function chooseComplete(
    stopped: readonly SuccessorCandidate[],
    unanswered: number,
  ): SuccessorCandidate | undefined {
    if (completeEnd === undefined) {
      return undefined;
    }
    // Without the primary's answer, a target that runs could receive from it.
    const others = members.filter(({link}) => !link.isDown());
    const mayPassOver =
      demotedLogEnd !== undefined || stopped.length === others.length;
    const replicas =
      demotedLogEnd === undefined
        ? stopped
        : candidatesThat(({status}) => status.role === 'replica');
    return mayPassOver
      ? chooseSuccessor({
          stopped: replicas,
          unanswered,
          demotedLogEnd: completeEnd,
          preferred,
        })
      : undefined;
  }

  function choose(): SuccessorCandidate | undefined {
    if (hold.isOver()) {
      return undefined;
    }
    if (hold.keepsPrimary()) {
      const kept = demotedPrimary();
      if (kept !== undefined) {
        return kept;
      }
    }
    const stopped = candidatesThat(hold.isStopped);
    const leading = mayLead
      ? candidatesThat(({status}) => status.role === 'primary')
      : [];
    const unanswered = members.length - stopped.length - leading.length;
    if (unanswered === 0) {
      return chooseLongest(stopped);
    }
    return (
      chooseComplete(stopped, unanswered) ??
      (options.mayKeepPrimary && hold.isStopping()
        ? demotedPrimary()
        : undefined)
    );
  }

  const successor = choose();

  function judge({link, answer}: HeldTarget): ChoiceVerdict {
    if (link.target === successor?.target) {
      return 'selected';
    }
    if (link.isDown()) {
      return 'down';
    }
    if (!isFresh(answer)) {
      return 'unanswered';
    }
    if (link.target === incomplete) {
      return 'incomplete';
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
    const {target} = hold.primary.link;
    const verdict =
      target === successor?.target
        ? 'selected'
        : demotedLogEnd === undefined
          ? 'replaced'
          : 'demoted';
    considered.unshift(describe(target, hold.primaryAnswer(), verdict));
  }
  return {successor, considered, vouchedEnd};
}
