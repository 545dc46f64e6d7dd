/**
 * Checks that a manifest may replace another. For logs that hold no
 * configuration, majorities are counted over the members in the manifest, and
 * proxies put a new version in force at different times. So majorities of two
 * consecutive versions of a group must overlap; otherwise each could confirm
 * records that the other does not hold. Groups whose logs hold configurations
 * don't need this rule, but the manifest does not show which groups these are.
 */
import {DataIssue} from './finding';
import type {Group, Manifest} from './manifest_schema';

/**
 * Maximum number of members that one version adds to a group and removes from
 * it, counted together.
 */
const MAXIMUM_MEMBER_CHANGES = 1;

/**
 * Returns a key per member. It includes the address, as a member with a changed
 * address is a different database.
 */
function memberKeys(group: Group): Set<string> {
  return new Set(group.members.map(({id, address}) => `${id} at ${address}`));
}

function difference(left: Set<string>, right: Set<string>): string[] {
  return [...left].filter(key => !right.has(key));
}

function checkMembers(
  previous: Group,
  next: Group,
  index: number,
): DataIssue[] {
  const before = memberKeys(previous);
  const after = memberKeys(next);
  const added = difference(after, before).map(key => `+ ${key}`);
  const removed = difference(before, after).map(key => `- ${key}`);
  const changes = [...removed, ...added];
  if (changes.length <= MAXIMUM_MEMBER_CHANGES) {
    return [];
  }
  return [
    {
      path: ['groups', index, 'members'],
      expected: 'one member added or removed since the version before',
      found: changes.join(', '),
    },
  ];
}

/**
 * Reports removed groups that had several members. A group is reduced member by
 * member, and removed with its last member.
 */
function checkRemovedGroups(previous: Manifest, next: Manifest): DataIssue[] {
  const names = new Set(next.groups.map(group => group.name));
  return previous.groups
    .filter(group => !names.has(group.name) && group.members.length > 1)
    .map(group => ({
      path: ['groups'],
      expected: `the group ${group.name}, or that it had one member before`,
      found: `no such group, which had ${group.members.length} members`,
    }));
}

/**
 * Reports members that were in another group before. A database holds the log
 * of one group and can't join another group.
 */
function checkMovedMembers(previous: Manifest, next: Manifest): DataIssue[] {
  const groupOf = new Map<string, string>();
  for (const group of previous.groups) {
    group.members.forEach(({address}) => groupOf.set(address, group.name));
  }
  return next.groups.flatMap((group, groupIndex) =>
    group.members.flatMap((member, index) => {
      const before = groupOf.get(member.address);
      if (before === undefined || before === group.name) {
        return [];
      }
      return {
        path: ['groups', groupIndex, 'members', index, 'address'],
        expected: 'a database of this group or a new one',
        found: `${member.address}, which was in the group ${before}`,
      };
    }),
  );
}

function checkService(previous: Manifest, next: Manifest): DataIssue[] {
  return previous.service === next.service
    ? []
    : [{path: ['service'], expected: `the service ${previous.service}`}];
}

/**
 * Returns the issues that rule out `next` as the version after `previous`.
 * Their paths refer to the data of `next`.
 */
export function checkManifestUpdate(
  previous: Manifest,
  next: Manifest,
): DataIssue[] {
  const before = new Map(previous.groups.map(group => [group.name, group]));
  const memberIssues = next.groups.flatMap((group, index) => {
    const earlier = before.get(group.name);
    return earlier === undefined ? [] : checkMembers(earlier, group, index);
  });
  return [
    ...checkService(previous, next),
    ...checkRemovedGroups(previous, next),
    ...checkMovedMembers(previous, next),
    ...memberIssues,
  ];
}
