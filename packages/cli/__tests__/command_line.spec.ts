import {createTcpTransport} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';
import {expect} from 'earl';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, test} from 'node:test';

import {EXIT_CODES} from '..';
import {runCommand} from './run_command';

const MANIFEST = 'examples/office/manifest.yaml';

function run(...parameters: string[]) {
  return runCommand(parameters);
}

/** Returns an address of this machine on which nothing listens. */
async function unusedAddress(): Promise<string> {
  const listening = await promiseFromFuture(
    createTcpTransport().listen('127.0.0.1:0', () => {}),
  );
  const {address, close} = listening.unwrap();
  close();
  return address;
}

describe('the command line', () => {
  test('offers help and a version on every command', async () => {
    const paths = [
      [],
      ['call'],
      ['call', 'read'],
      ['call', 'transaction'],
      ['manifest'],
      ['manifest', 'watch'],
      ['status'],
      ['audit'],
    ];
    for (const path of paths) {
      const help = await run(...path, '--help');
      const version = await run(...path, '--version');
      expect(help.code).toEqual(EXIT_CODES.ok);
      expect(help.results.join()).toMatchRegex(/--help/);
      expect(version.results).toEqual(['0.1.0']);
    }
  });

  test('rejects wrong usage with exit code 2 and an error message', async () => {
    const invalidCommands = [
      [],
      ['nonsense'],
      ['call', 'nonsense'],
      ['call', 'read', 'get ?'],
      ['call', 'read', 'get ?', '--group', 'a', '--nonsense'],
      ['audit', '--since', 'yesterday'],
      ['call', 'transaction', 'nonsense', '--group', 'a', '--key', 'k'],
    ];
    for (const parameters of invalidCommands) {
      const {code, results, errors} = await run(...parameters);
      expect([parameters, code]).toEqual([parameters, EXIT_CODES.usage]);
      expect(results).toEqual([]);
      expect(errors.length > 0).toEqual(true);
    }
  });

  test('checks a manifest on its own and as an update of another one', async () => {
    const valid = await run('manifest', 'check', MANIFEST);
    const update = await run(
      ...['manifest', 'check', MANIFEST],
      ...['--previous', 'examples/utility/manifest.yaml'],
    );
    expect(valid.code).toEqual(EXIT_CODES.ok);
    expect(JSON.parse(valid.results[0] ?? '')).toEqual({
      service: 'handbook',
      groups: 3,
    });
    expect(update.code).toEqual(EXIT_CODES.findings);
    expect(update.errors.join()).toMatchRegex(/service: expected/);
  });

  test('reports findings of a file with line and column', async () => {
    const {code, errors} = await run('manifest', 'check', 'package.json');
    expect(code).toEqual(EXIT_CODES.findings);
    expect(errors[0] ?? '').toMatchRegex(/^package\.json:\d+:\d+: /);
  });

  test('reports a missing file and an unreachable proxy', async () => {
    const file = await run('manifest', 'check', 'nothing.yaml');
    const read = ['call', 'read', 'get ?', '-p', 'a', '--group', 'g'];
    const proxy = await run(...read, '--proxy', await unusedAddress());
    expect(file.code).toEqual(EXIT_CODES.failure);
    expect(proxy.code).toEqual(EXIT_CODES.failure);
    expect(proxy.errors[0] ?? '').toMatchRegex(/not_run/);
  });
});

describe('the requests command', () => {
  const ENDED = {event: 'request ended', requestId: 'r1', account: 'office'};
  const LINES = [
    {...ENDED, time: '2026-12-03T04:05:02.000Z', outcome: 'busy', proxy: 'a'},
    {...ENDED, time: '2026-12-03T04:05:01.000Z', outcome: 'busy', proxy: 'b'},
    {...ENDED, time: '2026-12-03T04:05:03.000Z', outcome: 'ok', requestId: 'q'},
  ].map(line => JSON.stringify(line));

  test('groups requests by fields and finds those of one id', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'kelpstep-'));
    const log = join(directory, 'proxies.log');
    writeFileSync(log, LINES.join('\n'));
    const grouped = await run('requests', log, '--failed', '--by', 'account');
    expect(grouped.results.length).toEqual(1);
    expect(JSON.parse(grouped.results[0] ?? '')).toEqual({
      outcome: 'busy',
      fields: {account: 'office'},
      count: 2,
      meanMilliseconds: 0,
      longestMilliseconds: 0,
      first: '2026-12-03T04:05:01.000Z',
      last: '2026-12-03T04:05:02.000Z',
    });
    const found = await run('requests', log, '--id', 'r1');
    expect(found.results).toEqual([LINES[1] ?? '', LINES[0] ?? '']);
    const missing = await run('requests', log, '--id', 'r');
    expect([missing.code, missing.results.length]).toEqual([1, 0]);
    for (const options of [
      ['--by', 'account,colour'],
      ['--by', 'account,account'],
      ['--by', 'account', '--id', 'r1'],
      ['--failed', '--id', 'r1'],
    ]) {
      const refused = await run('requests', log, ...options);
      expect([refused.code, refused.results.length]).toEqual([2, 0]);
    }
    rmSync(directory, {recursive: true});
  });
});
