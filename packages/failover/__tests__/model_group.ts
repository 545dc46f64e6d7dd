/**
 * Model of a group for property tests. Members are logs that random steps
 * change within the targets' contract. The model has neither time nor messages:
 * a proxy gets snapshots of members that may be arbitrarily old.
 */
import {LogPosition, TermHistory} from '@kelpstep/protocol';

import {MemberLog, canVote, chooseCandidate, majorityOf} from '..';

export interface ModelMember {
  id: string;
  term: number;
  role: 'primary' | 'replica';
  /** Terms of the records, starting at position 1. */
  records: number[];
  catchingUp: boolean;
}

export type Step =
  | {kind: 'write'; member: number}
  | {kind: 'replicate'; from: number; to: number; count: number}
  | {kind: 'promote'; reached: number[]; avoided: number}
  | {kind: 'restart_empty'; member: number}
  | {kind: 'see'; member: number};

export function endOf(member: ModelMember): LogPosition {
  const {records} = member;
  return {term: records.at(-1) ?? 0, position: records.length};
}

export function statusOf(member: ModelMember): MemberLog {
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

/** Cuts a log to the prefix shared with the primary; adds `count` records. */
function replicate(from: ModelMember, to: ModelMember, count: number): void {
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

export function createModelGroup(size: number) {
  const members: ModelMember[] = [];
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
    const at = (index: number) => members[index % size] as ModelMember;
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

  /** True if the member accepts the term; without a term it needs a majority. */
  function accepts(member: ModelMember, term: number): boolean {
    const inTerm = members.filter(
      other => canVote(statusOf(other)) && other.term === term,
    );
    const admitted = member.term > 0 || inTerm.length >= majorityOf(size);
    return admitted && member.term <= term;
  }

  /** Restarts a member empty, unless another loss could destroy records. */
  function restart(member: ModelMember): void {
    const others = members.filter(other => other !== member);
    if (size >= 3 && others.every(other => canVote(statusOf(other)))) {
      member.records = [];
      member.term = 0;
      member.role = 'replica';
      member.catchingUp = true;
    }
  }

  return {members, primaries, take};
}
