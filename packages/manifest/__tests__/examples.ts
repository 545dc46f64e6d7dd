/** The example files of the repository, and variants of them, for specs. */
import {expect} from 'earl';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';

/** Directory of the example files. */
export const EXAMPLES = join(__dirname, '../../../examples');

/** The example manifest of the office. */
export const OFFICE_MANIFEST = readFileSync(
  join(EXAMPLES, 'office/manifest.yaml'),
  'utf8',
);

/** A minimal manifest, which is fast to parse. */
export const SMALL_MANIFEST = `format: 1
service: small
dataCentres: [here]
groups:
  - name: only
    readStaleness: 0
    members:
      - {id: a, dataCentre: here, address: '127.0.0.1:1', slots: 1, connectionLimit: 1}
kinds: [{name: any, worth: 1, deadline: 1000}]
`;

/** Returns the office manifest with the first match of each text replaced. */
export function editedOfficeManifest(
  ...edits: ReadonlyArray<readonly [string, string]>
): string {
  return edits.reduce((text, [from, to]) => {
    expect(text.includes(from)).toEqual(true);
    return text.replace(from, to);
  }, OFFICE_MANIFEST);
}
