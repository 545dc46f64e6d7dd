import {expect} from 'earl';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, test} from 'node:test';

import {describeSeededRun, findFailingSeeds, readScenario} from '..';

const DIRECTORY = join(__dirname, '../../../scenarios');
const SUFFIX = '.scenario';
const DEFAULT_SEEDS = 3;
const TIMEOUT_MS = 120_000;

describe('scripted scenarios', () => {
  const files = readdirSync(DIRECTORY).filter(name => name.endsWith(SUFFIX));
  for (const name of files.sort()) {
    const title = name.slice(0, -SUFFIX.length).replaceAll('_', ' ');
    test(`hold all invariants: ${title}`, {timeout: TIMEOUT_MS}, () => {
      const text = readFileSync(join(DIRECTORY, name), 'utf8');
      const scenario = readScenario(text).unwrap();
      const seeds = scenario.settings.seeds ?? DEFAULT_SEEDS;
      const failing = findFailingSeeds(1, seeds, scenario);
      const file = `scenarios/${name}`;
      expect(failing.map(run => describeSeededRun(run, file))).toEqual([]);
    });
  }
});
