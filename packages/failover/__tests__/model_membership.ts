/**
 * Model of a group with changing members for property tests. Logs contain
 * configurations, and random steps change them within the targets' contract.
 * Observers get snapshots of members that may be arbitrarily old.
 */
import {
  Configuration,
  LogPosition,
  LoggedConfiguration,
  TargetStatus,
  compareLogPositions,
} from '@kelpstep/protocol';

import {
  chooseCandidate,
  computeConfirmed,
  findPrimary,
  nextConfiguration,
} from '..';

const IDS = ['m0', 'm1', 'm2', 'm3', 'm4'];

interface ModelRecord {
  readonly term: number;
  readonly configuration?: Configuration;
}

export interface ChangingMember {
  readonly id: string;
  term: number;
  role: 'primary' | 'replica';
  records: ModelRecord[];
  catchingUp: boolean;
}

export type ChangeStep =
  | {kind: 'write'; member: number}
  | {kind: 'replicate'; from: number; to: number; count: number}
  | {kind: 'promote'; reached: number[]; avoided: number}
  | {kind: 'see'; observer: number; member: number}
  /**
   * Members copy a primary's log, then an observer gets their statuses and that
   * of the primary.
   */
  | {kind: 'settle'; from: number; members: number[]; observer: number}
  | {kind: 'reconfigure'; observer: number; wanted: number[]};

/** An observer's statuses of the members, taken at different moments. */
export type Snapshots = Map<string, TargetStatus>;

function configurationOf(ids: readonly string[]): Configuration {
  return {version: 0, members: ids.map(id => ({id, address: `${id}:1`}))};
}

function newestConfiguration(
  records: readonly ModelRecord[],
): LoggedConfiguration | undefined {
  const index = records.findLastIndex(each => each.configuration !== undefined);
  const found = records[index];
  return found?.configuration === undefined
    ? undefined
    : {...found.configuration, at: {term: found.term, position: index + 1}};
}

export function snapshotOf(member: ChangingMember): TargetStatus {
  const {id, term, role, records, catchingUp} = member;
  return {
    target: id,
    incarnation: '',
    role,
    term,
    end: {term: records.at(-1)?.term ?? 0, position: records.length},
    history: records.flatMap((record, index) =>
      records[index - 1]?.term === record.term
        ? []
        : [{term: record.term, firstPosition: index + 1}],
    ),
    catchingUp,
    configuration: newestConfiguration(records),
    slots: 1,
    connectionLimit: 1,
  };
}

function replicate(
  from: ChangingMember,
  to: ChangingMember,
  count: number,
): void {
  let keep = 0;
  while (
    keep < Math.min(from.records.length, to.records.length) &&
    to.records[keep]?.term === from.records[keep]?.term
  ) {
    keep++;
  }
  to.term = from.term;
  to.role = 'replica';
  to.records = from.records.slice(0, keep + count);
  to.catchingUp &&= to.records.length < from.records.length;
}

/** Creates a group of voters, three by default, and members that may join. */
export function createChangingGroup(size = 3) {
  const first = configurationOf(IDS.slice(0, size));
  const members = IDS.map((id, index): ChangingMember => {
    const counts = index < size;
    return {
      id,
      term: counts ? 1 : 0,
      role: index === 0 ? 'primary' : 'replica',
      records: counts ? [{term: 1, configuration: first}] : [],
      catchingUp: !counts,
    };
  });
  const primaries = new Map([[1, 'm0']]);
  const observers: Snapshots[] = [new Map(), new Map()];
  const lastConfirmed = new Map<Snapshots, LogPosition>();
  let highestTerm = 1;

  function at(index: number): ChangingMember {
    return members[index % members.length] as ChangingMember;
  }

  function observerAt(index: number): Snapshots {
    return observers[index % observers.length] as Snapshots;
  }

  function promote(reached: readonly number[], avoided: number): void {
    highestTerm++;
    const fenced = reached.map(at);
    for (const member of fenced) {
      member.term = highestTerm;
      member.role = 'replica';
    }
    const candidate = chooseCandidate(fenced.map(snapshotOf), {
      groupSize: size,
      isAvoided: id => id === IDS[avoided],
      cost: () => 0,
    });
    const winner = members.find(({id}) => id === candidate?.target);
    if (winner !== undefined) {
      winner.role = 'primary';
      winner.records = [...winner.records, {term: highestTerm}];
      winner.catchingUp = false;
      primaries.set(highestTerm, winner.id);
    }
  }

  /** The highest record that an observer considers confirmed. */
  function confirmedBy(snapshots: Snapshots): LogPosition | undefined {
    const found = computeConfirmed({
      logs: [...snapshots.values()],
      groupSize: size,
      primaryOf: term => primaries.get(term),
    });
    if (found !== undefined) {
      lastConfirmed.set(snapshots, found.at);
    }
    return found?.at ?? lastConfirmed.get(snapshots);
  }

  function reconfigure(snapshots: Snapshots, wanted: readonly number[]): void {
    const confirmed = confirmedBy(snapshots);
    const leader = findPrimary([...snapshots.values()]);
    if (confirmed === undefined || leader?.configuration === undefined) {
      return;
    }
    const {term, target: primary, configuration} = leader;
    const next = nextConfiguration({
      configuration,
      wanted: configurationOf(wanted.map(index => at(index).id)).members,
      manifestVersion: 0,
      leadership: {term, primary},
      confirmed,
      statuses: [...snapshots.values()],
      catchUpRecords: 3,
    });
    if (next !== undefined) {
      writeConfiguration(primary, term, configuration.at, next);
    }
  }

  /** Writes a configuration under the same conditions as a target. */
  function writeConfiguration(
    primary: string,
    term: number,
    replaces: LogPosition,
    configuration: Configuration,
  ): void {
    const leader = members.find(({id}) => id === primary);
    const current = newestConfiguration(leader?.records ?? []);
    if (
      leader?.role === 'primary' &&
      leader.term === term &&
      current !== undefined &&
      compareLogPositions(current.at, replaces) === 0
    ) {
      leader.records = [...leader.records, {term, configuration}];
    }
  }

  /** One of the members that are in the role of primary. */
  function primaryAt(index: number): ChangingMember | undefined {
    const all = members.filter(({role}) => role === 'primary');
    return all[index % Math.max(1, all.length)];
  }

  function send(
    from: ChangingMember | undefined,
    to: ChangingMember,
    count: number,
  ): void {
    if (from !== undefined && from !== to && to.term <= from.term) {
      replicate(from, to, count);
    }
  }

  function settle(
    from: ChangingMember | undefined,
    indexes: readonly number[],
    snapshots: Snapshots,
  ): void {
    for (const member of indexes.map(at)) {
      send(from, member, Infinity);
      snapshots.set(member.id, snapshotOf(member));
    }
    if (from !== undefined) {
      snapshots.set(from.id, snapshotOf(from));
    }
  }

  function take(step: ChangeStep): void {
    if (step.kind === 'write') {
      const member = primaryAt(step.member);
      if (member !== undefined) {
        member.records = [...member.records, {term: member.term}];
      }
    } else if (step.kind === 'replicate') {
      send(primaryAt(step.from), at(step.to), step.count);
    } else if (step.kind === 'settle') {
      settle(primaryAt(step.from), step.members, observerAt(step.observer));
    } else if (step.kind === 'promote') {
      promote(step.reached, step.avoided);
    } else if (step.kind === 'see') {
      const member = at(step.member);
      observerAt(step.observer).set(member.id, snapshotOf(member));
    } else {
      reconfigure(observerAt(step.observer), step.wanted);
    }
  }

  return {members, observers, confirmedBy, take};
}
