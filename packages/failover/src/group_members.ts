/**
 * Tracks the members of a group. The configuration in the newest known log
 * defines the voters, the manifest defines the intended members. The proxy
 * keeps a control connection to the members of both.
 */
import type {Group, Member} from '@kelpstep/manifest';
import {
  EMPTY_LOG_END,
  LoggedConfiguration,
  compareLogPositions,
} from '@kelpstep/protocol';

import type {MemberLog} from './member_status';
import {Voters, votersOf} from './voters';

/** The members of a group according to its manifest and its log. */
export interface GroupMembers {
  group(): Group;
  /** Version of the manifest that describes the group. */
  manifestVersion(): number;
  /** The configuration of the newest known log. */
  configuration(): LoggedConfiguration | undefined;
  /**
   * The members of the configuration, followed by members of the manifest that
   * are not in the configuration. If the manifest gives another address for an
   * id, that address is used only after the configuration has removed the id,
   * because one id stands for one database.
   */
  all(): readonly Member[];
  /** The voters of the configuration, or of the manifest if there is none. */
  voters(): Voters;
  /**
   * True if the manifest no longer contains the member at its address; false
   * while the manifest is older than the configuration.
   */
  isUnwanted(memberId: string): boolean;
  setGroup(group: Group, manifestVersion: number): void;
  /** Adopts the newest log's configuration; returns true if it changed. */
  learn(logs: readonly MemberLog[]): boolean;
}

type MemberAddress = Pick<Member, 'id' | 'address'>;

/** True if both members are the same database. */
export function isSameDatabase(
  left: MemberAddress,
  right: MemberAddress,
): boolean {
  return left.id === right.id && left.address === right.address;
}

/** Starts with the manifest's members as voters, until a log is known. */
export function createGroupMembers(
  firstGroup: Group,
  firstVersion: number,
): GroupMembers {
  let group = firstGroup;
  let manifestVersion = firstVersion;
  let configuration: LoggedConfiguration | undefined;
  /**
   * The last description of each member in the current and earlier manifests,
   * by member id.
   */
  const knownMembers = new Map<string, Member>();
  let all: readonly Member[] = [];
  let voters = votersOf({}, 0);
  update();

  function update(): void {
    group.members.forEach(member => knownMembers.set(member.id, member));
    const members = (configuration?.members ?? []).map(toMember);
    for (const member of group.members) {
      if (!members.some(({id}) => id === member.id)) {
        members.push(member);
      }
    }
    all = members;
    voters = votersOf({configuration}, group.members.length);
  }

  /**
   * Describes a member of the configuration. If no known manifest lists it at
   * this address, its slots and connection limit are copied from the group's
   * first member.
   */
  function toMember({id, address}: MemberAddress): Member {
    const known = knownMembers.get(id);
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
    update();
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
    voters: () => voters,
    isUnwanted,
    setGroup(next, version) {
      group = next;
      manifestVersion = version;
      update();
    },
    learn,
  };
}

/** Returns the log with the highest end; `undefined` if all are empty. */
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
