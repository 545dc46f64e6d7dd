/** Which change of a group's configuration is due, by what its members told. */
import {
  Configuration,
  LogPosition,
  LoggedConfiguration,
  TargetStatus,
} from '@kelpstep/protocol';

import {electorateOf} from './electorate';
import {isSameDatabase} from './group_members';
import type {Leadership} from './group_view';
import {isVoter} from './member_status';

/** A member as configurations name it. */
export type ConfiguredMember = Configuration['members'][number];

/** What a change depends on. */
export interface ChangeInput {
  /** The newest configuration seen. */
  readonly configuration: LoggedConfiguration;
  /** The members of the manifest in force, and its version. */
  readonly wanted: readonly ConfiguredMember[];
  readonly manifestVersion: number;
  readonly leadership: Leadership;
  /** The highest confirmed record. */
  readonly confirmed: LogPosition;
  /** Statuses of the members whose streams are heard. */
  readonly statuses: readonly TargetStatus[];
  /** Records that a member may lack to count as caught up. */
  readonly catchUpRecords: number;
}

/**
 * The next configuration on the way to what is wanted: one member more or
 * less, members first that are added. Undefined if nothing is due.
 *
 * The term's barrier and the present configuration have to be confirmed: then
 * no two configurations that differ by more than one member are ever in use.
 */
export function nextConfiguration(
  input: ChangeInput,
): Configuration | undefined {
  const {configuration, manifestVersion} = input;
  if (!isConfirmed(input) || manifestVersion < configuration.version) {
    return undefined;
  }
  const fit = input.statuses.filter(status => isFit(status, input));
  const ids = new Set(fit.map(({target}) => target));
  const change = [...additions(input, ids), ...removals(input, ids)].find(
    members => hasMajority(members, ids),
  );
  return change && {version: manifestVersion, members: change};
}

function isConfirmed({
  configuration,
  confirmed,
  leadership,
}: ChangeInput): boolean {
  return (
    confirmed.term === leadership.term &&
    confirmed.position >= configuration.at.position
  );
}

/** True if the member holds about all that the primary does, in its term. */
function isFit(status: TargetStatus, input: ChangeInput): boolean {
  const {term, primary} = input.leadership;
  const leader = input.statuses.find(({target}) => target === primary);
  const goal = (leader?.end.position ?? Infinity) - input.catchUpRecords;
  return (
    isVoter(status) &&
    status.term === term &&
    status.end.term === term &&
    status.end.position >= goal
  );
}

function additions(
  {configuration, wanted}: ChangeInput,
  fit: ReadonlySet<string>,
): ConfiguredMember[][] {
  const {members} = configuration;
  return wanted
    .filter(({id}) => fit.has(id) && !members.some(each => each.id === id))
    .map(({id, address}) => [...members, {id, address}]);
}

/** A group never gets smaller than wanted, and no primary is removed. */
function removals(
  {configuration, wanted, leadership}: ChangeInput,
  fit: ReadonlySet<string>,
): ConfiguredMember[][] {
  const {members} = configuration;
  const unwanted = members.filter(
    member =>
      member.id !== leadership.primary &&
      !wanted.some(each => isSameDatabase(each, member)) &&
      (members.length > wanted.length ||
        wanted.some(({id}) => id === member.id)),
  );
  return unwanted
    .sort((left, right) => Number(fit.has(left.id)) - Number(fit.has(right.id)))
    .map(({id}) => members.filter(member => member.id !== id));
}

function hasMajority(
  members: readonly ConfiguredMember[],
  fit: ReadonlySet<string>,
): boolean {
  const {majority} = electorateOf({configuration: {version: 0, members}}, 0);
  return members.filter(({id}) => fit.has(id)).length >= majority;
}
