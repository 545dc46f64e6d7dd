import {createTcpTransport} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';
import {expect} from 'earl';
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
