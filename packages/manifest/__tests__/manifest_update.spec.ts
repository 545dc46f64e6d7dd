import {expect} from 'earl';
import {describe, test} from 'node:test';

import {Manifest, checkManifestUpdate, readManifest} from '..';
import {OFFICE_MANIFEST, editedOfficeManifest} from './examples';

function read(text: string): Manifest {
  return readManifest(text, 'manifest.yaml').unwrap();
}

const OFFICE = read(OFFICE_MANIFEST);

/** Returns the office manifest with the members of its first group replaced. */
function withMembers(count: number, from = 0): Manifest {
  const [group, ...others] = OFFICE.groups;
  const first = group?.members[0];
  if (group === undefined || first === undefined) {
    throw new Error('the example has no group');
  }
  const members = Array.from({length: count}, (unused, index) => ({
    ...first,
    id: `rules-${from + index}`,
    address: `127.0.0.1:${9000 + from + index}`,
  }));
  return {...OFFICE, groups: [{...group, members}, ...others]};
}

describe('updating a manifest', () => {
  test('may add or remove one member at a time', () => {
    expect(checkManifestUpdate(withMembers(3), withMembers(4))).toEqual([]);
    expect(checkManifestUpdate(withMembers(4), withMembers(3))).toEqual([]);
    expect(checkManifestUpdate(OFFICE, OFFICE)).toEqual([]);
  });

  test('may not replace a member in one step, even under the same id', () => {
    expect(
      checkManifestUpdate(withMembers(3), withMembers(3, 1)).map(
        ({path}) => path,
      ),
    ).toEqual([['groups', 0, 'members']]);
    const moved = read(editedOfficeManifest(['0.1:7411', '0.1:7499']));
    expect(checkManifestUpdate(OFFICE, moved).length).toEqual(1);
  });

  test('may not remove a group unless it has one member', () => {
    const without = {...OFFICE, groups: OFFICE.groups.slice(1)};
    expect(checkManifestUpdate(OFFICE, without).length).toEqual(1);
    expect(checkManifestUpdate(withMembers(1), without)).toEqual([]);
  });

  test('may not change the service or move databases to another group', () => {
    const text = OFFICE_MANIFEST.replace('service: handbook', 'service: other');
    const renamed = read(text.replace('name: rules', 'name: regulations'));
    // The service, the removed group, and three databases that moved.
    expect(checkManifestUpdate(OFFICE, renamed).length).toEqual(5);
  });
});
