/**
 * Checks across the parts of a manifest. They use lenient outline schemas that
 * drop unreadable values, so that their findings are reported together with
 * those of the manifest schema.
 */
import {z} from 'zod';

import {DataIssue, DataPath} from './finding';

const text = z.string().optional().catch(undefined);
const number = z.number().optional().catch(undefined);

function list<T extends z.ZodType>(item: T) {
  return z.array(item).catch([]);
}

const memberOutlineSchema = z
  .object({
    id: text,
    dataCentre: text,
    address: text,
    state: text,
    slots: number,
    connectionLimit: number,
  })
  .catch({});

const groupOutlineSchema = z
  .object({name: text, members: list(memberOutlineSchema)})
  .catch({members: []});

const kindOutlineSchema = z.object({name: text, deadline: number}).catch({});

const accountOutlineSchema = z
  .object({name: text, keyDigests: list(text)})
  .catch({keyDigests: []});

const stopOutlineSchema = z
  .object({drainTime: number, acceptTime: number})
  .catch({});

const outlineSchema = z.object({
  dataCentres: list(text),
  groups: list(groupOutlineSchema),
  kinds: list(kindOutlineSchema),
  accounts: list(accountOutlineSchema),
  stop: stopOutlineSchema,
  keyRetention: number,
});
type ManifestOutline = z.infer<typeof outlineSchema>;
type GroupOutline = z.infer<typeof groupOutlineSchema>;
type MemberOutline = z.infer<typeof memberOutlineSchema>;

interface LocatedValue {
  readonly path: DataPath;
  readonly value: string | undefined;
}

/** Reports each value that already occurred earlier in the list. */
function findDuplicates(
  what: string,
  values: readonly LocatedValue[],
): DataIssue[] {
  const seen = new Set<string>();
  const issues: DataIssue[] = [];
  for (const {path, value} of values) {
    if (value === undefined) {
      continue;
    }
    if (seen.has(value)) {
      issues.push({
        path,
        expected: `a distinct ${what}`,
        found: `${JSON.stringify(value)} again`,
      });
    }
    seen.add(value);
  }
  return issues;
}

interface LocatedMember {
  readonly path: DataPath;
  readonly member: MemberOutline;
}

function locatedMembers(outline: ManifestOutline): LocatedMember[] {
  return outline.groups.flatMap((group, groupIndex) =>
    group.members.map((member, index) => ({
      path: ['groups', groupIndex, 'members', index],
      member,
    })),
  );
}

function duplicateIssues(outline: ManifestOutline): DataIssue[] {
  const members = locatedMembers(outline);
  return [
    ...findDuplicates(
      'data centre',
      outline.dataCentres.map((value, index) => ({
        path: ['dataCentres', index],
        value,
      })),
    ),
    ...findDuplicates(
      'group name',
      outline.groups.map((group, index) => ({
        path: ['groups', index, 'name'],
        value: group.name,
      })),
    ),
    ...findDuplicates(
      'kind name',
      outline.kinds.map((kind, index) => ({
        path: ['kinds', index, 'name'],
        value: kind.name,
      })),
    ),
    ...findDuplicates(
      'account name',
      outline.accounts.map((account, index) => ({
        path: ['accounts', index, 'name'],
        value: account.name,
      })),
    ),
    ...findDuplicates(
      'key',
      outline.accounts.flatMap((account, index) =>
        account.keyDigests.map((value, keyIndex) => ({
          path: ['accounts', index, 'keyDigests', keyIndex],
          value,
        })),
      ),
    ),
    ...findDuplicates(
      'member id',
      members.map(({path, member}) => ({
        path: [...path, 'id'],
        value: member.id,
      })),
    ),
    ...findDuplicates(
      'address',
      members.map(({path, member}) => ({
        path: [...path, 'address'],
        value: member.address,
      })),
    ),
  ];
}

function dataCentreIssues(outline: ManifestOutline): DataIssue[] {
  const declared = new Set(outline.dataCentres);
  if (declared.size === 0) {
    return [];
  }
  return locatedMembers(outline)
    .filter(
      ({member}) =>
        member.dataCentre !== undefined && !declared.has(member.dataCentre),
    )
    .map(({path}) => ({
      path: [...path, 'dataCentre'],
      expected: `a data centre of dataCentres (${[...declared].join(', ')})`,
    }));
}

function connectionIssues(outline: ManifestOutline): DataIssue[] {
  return locatedMembers(outline)
    .filter(
      ({member}) => (member.connectionLimit ?? Infinity) < (member.slots ?? 0),
    )
    .map(({path, member}) => ({
      path: [...path, 'connectionLimit'],
      expected: `at least as many connections as slots (${member.slots})`,
    }));
}

function groupIssues(group: GroupOutline, index: number): DataIssue[] {
  const path = ['groups', index, 'members'];
  const {members} = group;
  const issues: DataIssue[] = [];
  if (
    members.length > 0 &&
    members.every(member => member.state === 'leaving')
  ) {
    issues.push({
      path,
      expected: 'a member that stays',
      found: 'only members that are leaving',
    });
  }
  if (members.length > 0 && members.length % 2 === 0) {
    issues.push({
      severity: 'warning',
      path,
      expected: 'an odd number of members',
      found: `${members.length}, which survives no more losses than ${members.length - 1}`,
    });
  }
  return issues;
}

function timeIssues(outline: ManifestOutline): DataIssue[] {
  const issues: DataIssue[] = [];
  const {keyRetention = Infinity, stop} = outline;
  outline.kinds.forEach((kind, index) => {
    if ((kind.deadline ?? 0) > keyRetention) {
      issues.push({
        path: ['kinds', index, 'deadline'],
        expected: `a deadline within keyRetention (${keyRetention})`,
      });
    }
  });
  if ((stop.acceptTime ?? 0) > (stop.drainTime ?? Infinity)) {
    issues.push({
      path: ['stop', 'acceptTime'],
      expected: `at most the drainTime (${stop.drainTime})`,
    });
  }
  return issues;
}

/** Checks the data of a manifest across its parts. */
export function checkManifestData(raw: unknown): DataIssue[] {
  const parsed = outlineSchema.safeParse(raw);
  if (!parsed.success) {
    return [];
  }
  const outline = parsed.data;
  return [
    ...duplicateIssues(outline),
    ...dataCentreIssues(outline),
    ...connectionIssues(outline),
    ...outline.groups.flatMap(groupIssues),
    ...timeIssues(outline),
  ];
}
