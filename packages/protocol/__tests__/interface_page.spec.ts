import {expect} from 'earl';
import {readFileSync} from 'node:fs';
import {describe, test} from 'node:test';

import {CALLER_METHODS, ERRORS, ErrorDefinition} from '..';

const PAGE = readFileSync('docs/INTERFACE.md', 'utf8');

function errorRow(name: string, definition: ErrorDefinition): string {
  const {code, outcome, retryable, meaning} = definition;
  const retry = retryable ? 'yes' : 'no';
  return `| ${code} | ${name} | ${outcome} | ${retry} | ${meaning} |`;
}

describe('docs/INTERFACE.md', () => {
  test('lists the errors of the error table, in its order', () => {
    const rows = Object.entries(ERRORS).map(entry => errorRow(...entry));
    const written = PAGE.split('\n').filter(line => /^\| -?\d{4,} /.test(line));
    expect(written).toEqual(rows);
  });

  test('has a section for each caller method', () => {
    for (const name of Object.keys(CALLER_METHODS)) {
      expect(PAGE.includes(`\n### ${name}\n`)).toEqual(true);
    }
  });
});
