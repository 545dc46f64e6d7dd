import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  MAXIMUM_MANIFEST_BYTES,
  formatFinding,
  inspectManifest,
  readManifest,
} from '..';
import {OFFICE_MANIFEST, editedOfficeManifest} from './examples';

function linesFor(text: string): string[] {
  return inspectManifest(text, 'file.yaml').findings.map(formatFinding);
}

describe('reading a manifest', () => {
  test('returns the manifest with defaults filled in', () => {
    const manifest = readManifest(OFFICE_MANIFEST, 'file.yaml').unwrap();
    const sizes = manifest.groups.map(group => group.members.length);
    expect(sizes).toEqual([3, 3, 3]);
    expect(manifest.groups[0]?.members[0]?.state).toEqual('serving');
  });

  test('accepts key digests of accounts and rejects malformed or repeated ones', () => {
    const digest = 'A'.repeat(22);
    const accounts = (...digests: string[]) =>
      `accounts: [{name: office, keyDigests: [${digests.join()}]}]\n`;
    expect(linesFor(OFFICE_MANIFEST + accounts(digest))).toEqual([]);
    const [short] = linesFor(OFFICE_MANIFEST + accounts('secret'));
    expect(short?.includes('accounts[0].keyDigests[0]')).toEqual(true);
    const [again] = linesFor(OFFICE_MANIFEST + accounts(digest, digest));
    expect(again?.includes('a distinct key')).toEqual(true);
  });

  test('reports all findings together, each with its location', () => {
    const text = editedOfficeManifest(
      ['slots: 3', 'slots: many'],
      ['127.0.0.1:7412', '127.0.0.1:7411'],
      ['dataCentre: kagoshima', 'dataCentre: osaka'],
      ['connectionLimit: 20', 'connections: 20'],
      ['keyRetention: 86400000', 'keyRetention: 0.5'],
    );
    const lines = linesFor(text);
    expect(lines.slice(0, 5)).toEqual([
      'file.yaml:10:9: groups[0].members[0].connectionLimit: ' +
        'expected a whole number from 1 to 100000, found nothing',
      'file.yaml:13:16: groups[0].members[0].slots: ' +
        'expected a whole number from 1 to 10000, found "many"',
      'file.yaml:14:9: groups[0].members[0].connections: expected one of ' +
        'the keys id, dataCentre, address, state, slots, connectionLimit, ' +
        'found the key connections',
      'file.yaml:17:18: groups[0].members[1].address: ' +
        'expected a distinct address, found "127.0.0.1:7411" again',
      'file.yaml:21:21: groups[0].members[2].dataCentre: expected a data ' +
        'centre of dataCentres (fukuoka, kumamoto, kagoshima), found "osaka"',
    ]);
    expect(lines.at(-1)).toEqual(
      'file.yaml:73:15: keyRetention: expected a whole number ' +
        'from 1 to 2592000000 milliseconds, found 0.5',
    );
  });

  test('reports several syntax errors and duplicate keys', () => {
    const syntax = linesFor('format: 1\n\tservice: x\na: [1, 2\nb: "x');
    expect(syntax.length).toBeGreaterThan(1);
    const repeated = linesFor('format: 1\nformat: 2\nservice: 7\n');
    const locations = repeated.map(line => line.split(' ')[0]);
    expect(locations).toEqual(expect.includes('file.yaml:2:1:'));
    expect(repeated.join('\n')).toEqual(expect.includes('service: expected'));
  });

  test('rejects aliases, multiple documents, deep nesting and large files', () => {
    const hostile = [
      'a: &a [1]\nb: [*a, *a]\n',
      `${OFFICE_MANIFEST}---\nformat: 1\n`,
      '['.repeat(100_000),
      '#'.repeat(MAXIMUM_MANIFEST_BYTES + 1),
      '',
      '- 1\n',
      '__proto__: {format: 1}\n',
    ];
    for (const text of hostile) {
      expect(readManifest(text, 'file.yaml').err).toEqual(true);
    }
  });

  test('rejects addresses out of range and groups in which all members leave', () => {
    const lines = linesFor(
      editedOfficeManifest(
        ['127.0.0.1:7411', '127.0.0.256:7411'],
        ['127.0.0.1:7412', '127.0.0.1:70000'],
        [
          'slots: 3\n        connectionLimit: 20\n      - id: rules-2',
          'slots: 3\n        connectionLimit: 2\n      - id: rules-2',
        ],
      ),
    );
    expect(lines.length).toEqual(3);
    const allLeave = OFFICE_MANIFEST.replaceAll(
      '        slots: 3',
      '        state: leaving\n        slots: 3',
    );
    expect(linesFor(allLeave).length).toEqual(3);
  });

  test('accepts an even number of members with a warning', () => {
    const text = editedOfficeManifest([
      '      - id: rules-3\n        dataCentre: kagoshima\n' +
        '        address: 127.0.0.1:7413\n        slots: 3\n' +
        '        connectionLimit: 20\n',
      '',
    ]);
    const {manifest, findings} = inspectManifest(text, 'file.yaml');
    expect(manifest?.groups[0]?.members.length).toEqual(2);
    expect(findings.map(finding => finding.severity)).toEqual(['warning']);
  });
});
