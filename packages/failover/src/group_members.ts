/**
 * Who belongs to a group. The newest log that was seen says who counts; the
 * manifest says who is wanted. Links are kept to both.
 */
import type {Group, Member} from '@kelpstep/manifest';
import {
  EMPTY_LOG_END,
  LoggedConfiguration,
  compareLogPositions,
} from '@kelpstep/protocol';

import {Electorate, electorateOf} from './electorate';
import type {MemberLog} from './member_status';

/** Members by manifest and log. */
export interface GroupMembers {
  group(): Group;
  /** Version of the manifest that the group is of. */
  manifestVersion(): number;
  /** The configuration of the newest log seen. */
  configuration(): LoggedConfiguration | undefined;
  /**
   * Members of the configuration, and those of the manifest that it doesn't
   * have. One id is one database: until the configuration has dropped an id,
   * that id's other address in the manifest isn't used.
   */
  all(): readonly Member[];
  /** Who counts, by the configuration or else by the manifest. */
  electorate(): Electorate;
  /** True if the manifest in force no longer wants a member. */
  isUnwanted(memberId: string): boolean;
  setGroup(group: Group, manifestVersion: number): void;
  /** Takes the configuration of the newest log; true if it is another. */
  learn(logs: readonly MemberLog[]): boolean;
}

type Place = Pick<Member, 'id' | 'address'>;

/** True if two members are one database. */
export function isSameDatabase(left: Place, right: Place): boolean {
  return left.id === right.id && left.address === right.address;
}

/** Creates the members of a group whose logs weren't seen yet. */
export function createGroupMembers(
  firstGroup: Group,
  firstVersion: number,
): GroupMembers {
  let group = firstGroup;
  let manifestVersion = firstVersion;
  let configuration: LoggedConfiguration | undefined;
  /** Members of this manifest and former ones, by id. */
  const described = new Map<string, Member>();
  let all: readonly Member[] = [];
  let electorate = electorateOf({}, 0);
  review();

  function review(): void {
    group.members.forEach(member => described.set(member.id, member));
    const members = (configuration?.members ?? []).map(describe);
    for (const member of group.members) {
      if (!members.some(({id}) => id === member.id)) {
        members.push(member);
      }
    }
    all = members;
    electorate = electorateOf({configuration}, group.members.length);
  }

  /** A member that no manifest here named is taken to be like the others. */
  function describe({id, address}: Place): Member {
    const known = described.get(id);
    if (known?.address === address) {
      return known;
    }
    const {slots = 1, connectionLimit = 1} = group.members[0] ?? {};
    const dataCentre = known?.dataCentre ?? '';
    return {id, address, dataCentre, state: 'serving', slots, connectionLimit};
  }

  function learn(logs: readonly MemberLog[]): boolean {
    const newest = newestLog(logs)?.configuration;
    const isSame =
      newest === undefined ||
      (configuration !== undefined &&
        compareLogPositions(newest.at, configuration.at) === 0);
    if (isSame) {
      return false;
    }
    configuration = newest;
    review();
    return true;
  }

  function isUnwanted(memberId: string): boolean {
    const member = all.find(({id}) => id === memberId);
    return (
      member !== undefined &&
      manifestVersion >= (configuration?.version ?? 0) &&
      !group.members.some(wanted => isSameDatabase(wanted, member))
    );
  }

  return {
    group: () => group,
    manifestVersion: () => manifestVersion,
    configuration: () => configuration,
    all: () => all,
    electorate: () => electorate,
    isUnwanted,
    setGroup(next, version) {
      group = next;
      manifestVersion = version;
      review();
    },
    learn,
  };
}

/** The log with the highest end. */
export function newestLog(logs: readonly MemberLog[]): MemberLog | undefined {
  let newest: MemberLog | undefined;
  for (const log of logs) {
    const end = newest?.end ?? EMPTY_LOG_END;
    if (compareLogPositions(log.end, end) > 0) {
      newest = log;
    }
  }
  return newest;
}
