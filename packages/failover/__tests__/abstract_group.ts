/**
 * A group in the abstract for property tests: members as logs, changed by
 * random steps that obey the targets' contract. No time and no messages; what
 * a proxy sees are snapshots, as old as it likes.
 */
import {LogPosition, TermHistory} from '@kelpstep/protocol';

import {MemberLog, chooseCandidate, isVoter, majorityOf} from '..';

export interface AbstractMember {
  id: string;
  term: number;
  role: 'primary' | 'replica';
  /** Terms of the records, from position 1. */
  records: number[];
  catchingUp: boolean;
}

export type Step =
  | {kind: 'write'; member: number}
  | {kind: 'replicate'; from: number; to: number; count: number}
  | {kind: 'promote'; reached: number[]; avoided: number}
  | {kind: 'restart_empty'; member: number}
  | {kind: 'see'; member: number};

export function endOf(member: AbstractMember): LogPosition {
  const {records} = member;
  return {term: records.at(-1) ?? 0, position: records.length};
}

export function statusOf(member: AbstractMember): MemberLog {
  const history: TermHistory = member.records.flatMap((term, index) =>
    member.records[index - 1] === term
      ? []
      : [{term, firstPosition: index + 1}],
  );
  return {
    target: member.id,
    role: member.role,
    term: member.term,
    end: endOf(member),
    history,
    catchingUp: member.catchingUp,
  };
}

/** Makes a member's log a prefix of its primary's, `count` records longer. */
function replicate(
  from: AbstractMember,
  to: AbstractMember,
  count: number,
): void {
  let keep = 0;
  while (
    keep < Math.min(from.records.length, to.records.length) &&
    to.records[keep] === from.records[keep]
  ) {
    keep++;
  }
  to.term = from.term;
  to.role = 'replica';
  to.records = from.records.slice(0, keep + count);
  to.catchingUp = to.catchingUp && to.records.length < from.records.length;
}

export function createAbstractGroup(size: number) {
  const members: AbstractMember[] = [];
  for (let index = 0; index < size; index++) {
    members.push({
      id: `m${index}`,
      term: 1,
      role: index === 0 ? 'primary' : 'replica',
      records: [1],
      catchingUp: false,
    });
  }
  let highestTerm = 1;
  const primaries = new Map([[1, 'm0']]);

  function promote(reached: readonly number[], avoided: number): void {
    highestTerm++;
    const reachedIds = reached.map(index => `m${index % size}`);
    const fenced = members.filter(({id}) => reachedIds.includes(id));
    for (const member of fenced) {
      member.term = highestTerm;
      member.role = 'replica';
    }
    const statuses = fenced.map(member => ({
      ...statusOf(member),
      incarnation: '',
      slots: 1,
      connectionLimit: 1,
    }));
    const candidate = chooseCandidate(statuses, {
      groupSize: size,
      isAvoided: id => id === `m${avoided}`,
      cost: () => 0,
    });
    const winner = members.find(({id}) => id === candidate?.target);
    if (winner !== undefined) {
      winner.role = 'primary';
      winner.records.push(highestTerm);
      winner.catchingUp = false;
      primaries.set(highestTerm, winner.id);
    }
  }

  function take(step: Step): void {
    const at = (index: number) => members[index % size] as AbstractMember;
    if (step.kind === 'write' && at(step.member).role === 'primary') {
      at(step.member).records.push(at(step.member).term);
    } else if (step.kind === 'replicate') {
      const [from, to] = [at(step.from), at(step.to)];
      if (from !== to && from.role === 'primary' && accepts(to, from.term)) {
        replicate(from, to, step.count);
      }
    } else if (step.kind === 'promote') {
      promote(step.reached, step.avoided);
    } else if (step.kind === 'restart_empty') {
      restart(at(step.member));
    }
  }

  /** A member that forgot its term is admitted by a majority of others. */
  function accepts(member: AbstractMember, term: number): boolean {
    const inTerm = members.filter(
      other => isVoter(statusOf(other)) && other.term === term,
    );
    const admitted = member.term > 0 || inTerm.length >= majorityOf(size);
    return admitted && member.term <= term;
  }

  /** One loss at a time: what more than that destroys is past saving. */
  function restart(member: AbstractMember): void {
    const others = members.filter(other => other !== member);
    if (size >= 3 && others.every(other => isVoter(statusOf(other)))) {
      member.records = [];
      member.term = 0;
      member.role = 'replica';
      member.catchingUp = true;
    }
  }

  return {members, primaries, take};
}
