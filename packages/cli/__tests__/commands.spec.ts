import {expect} from 'earl';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, test} from 'node:test';

import {EXIT_CODES} from '..';
import {
  DEMO_GROUP,
  DemoCluster,
  startDemoCluster,
} from '../src/demo/demo_cluster';
import {runWalkthrough} from '../src/demo/demo_walkthrough';
import {runCommand} from './run_command';

const directory = mkdtempSync(join(tmpdir(), 'kelpstep-'));
const manifestFile = join(directory, 'manifest.yaml');

describe('commands against running proxies', () => {
  let cluster: DemoCluster;
  let walkthroughLines: string[] = [];

  before(async () => {
    cluster = await startDemoCluster();
    const lines: string[] = [];
    await runWalkthrough(cluster, {
      result: () => {},
      line: text => lines.push(text),
      error: () => {},
    });
    walkthroughLines = lines;
  });

  after(async () => {
    await cluster.stop();
    rmSync(directory, {recursive: true});
  });

  function runOperatorCommand(...parameters: string[]) {
    const {operatorAddress, operatorToken} = cluster.proxies[0];
    return runCommand([...parameters, '--operator', operatorAddress], {
      KELPSTEP_OPERATOR_TOKEN: operatorToken,
    });
  }

  function watchUntil(version: number, ...parameters: string[]) {
    const addresses = cluster.proxies.map(proxy => proxy.operatorAddress);
    const watch = ['manifest', 'watch', ...addresses, ...parameters];
    return runOperatorCommand(...watch, '--until-version', String(version));
  }

  async function call(...parameters: string[]) {
    const {address} = cluster.proxies[1];
    const run = await runCommand([
      ...['call', ...parameters],
      ...['--proxy', address, '--group', DEMO_GROUP],
    ]);
    return {...run, result: JSON.parse(run.results[0] ?? 'null')};
  }

  test('the demo reads from a replica and records one acknowledgement', () => {
    expect(walkthroughLines.join('\n')).toMatchRegex(
      /from replica handbook-\d/,
    );
    expect(walkthroughLines.join('\n')).toMatchRegex(
      /duplicate false, then true/,
    );
    expect(walkthroughLines.at(-1)).toEqual('It was recorded 1 time(s).');
  });

  test('call writes with a key, reads, and settles the key', async () => {
    const write = ['write', 'append ? ?', '-p', 'log', '-p', '7'];
    const written = await call(...write, '--key', 'entry');
    const {key, token} = written.result;
    const again = await call(...write, '--key', key);
    const read = await call('read', 'list ?', '-p', 'log', '--token', token);
    const settled = await call('outcome', key);
    expect(again.result.duplicate).toEqual(true);
    expect(read.result.rows).toEqual([[7]]);
    expect(settled.result.outcome).toEqual('confirmed');
  });

  test('call runs a transaction in one command or in several', async () => {
    const inOneCommand = await call(
      ...['transaction', 'write: set ? ? ["a", 1]', 'read: get ? ["a"]'],
      ...['--key', 'both'],
    );
    const begun = await call('begin');
    const {transaction} = begun.result;
    const inside = ['--transaction', transaction];
    await call('write', 'set ? ?', '-p', 'a', '-p', '2', ...inside);
    const rolledBack = await call('rollback', transaction);
    const read = await call('read', 'get ?', '-p', 'a');
    expect(inOneCommand.result.rows).toEqual([[], [[1]]]);
    expect(rolledBack.code).toEqual(EXIT_CODES.ok);
    expect(read.result.rows).toEqual([[1]]);
  });

  test('call reports a rejected request on standard error, with exit code 1', async () => {
    const {code, results, errors} = await call('read', 'nonsense');
    expect(code).toEqual(EXIT_CODES.failure);
    expect(results).toEqual([]);
    expect(errors[0] ?? '').toMatchRegex(/^STATEMENT_FAILED \(not_run\)/);
  });

  test('manifest commits, shows and watches versions', async () => {
    const shown = await runOperatorCommand('manifest', 'show', '--body');
    writeFileSync(manifestFile, shown.results[0] ?? '');
    const committed = await runOperatorCommand(
      'manifest',
      'commit',
      manifestFile,
    );
    const stale = await runOperatorCommand(
      ...['manifest', 'commit', manifestFile, '--expected-version', '1'],
    );
    const watched = await watchUntil(2);
    const timedOut = await watchUntil(9, '--limit', '1');
    expect(JSON.parse(committed.results[0] ?? '').version).toEqual(2);
    expect(stale.code).toEqual(EXIT_CODES.conflict);
    expect(timedOut.code).toEqual(EXIT_CODES.failure);
    expect(watched.code).toEqual(EXIT_CODES.ok);
    const versions = watched.results.map(line => JSON.parse(line).version);
    expect(versions.filter(version => version === 2).length).toEqual(2);
  });

  test('manifest commit rejects an invalid manifest with its findings', async () => {
    writeFileSync(manifestFile, 'format: 1\n');
    const {code, errors} = await runOperatorCommand(
      'manifest',
      'commit',
      manifestFile,
    );
    expect(code).toEqual(EXIT_CODES.findings);
    expect(errors.join()).toMatchRegex(/manifest\.yaml:\d+:\d+: /);
  });

  test('status shows the primary and audit lists all manifest commits', async () => {
    const status = await runOperatorCommand('status');
    const described = JSON.parse(status.results[0] ?? '');
    expect(described.groups[0].leadership.primary).toMatchRegex(/handbook-\d/);
    let audit = await runOperatorCommand('audit');
    const manifestEntries = () =>
      audit.results
        .map(line => JSON.parse(line))
        .filter(({what}) => what === 'manifest');
    while (audit.code === EXIT_CODES.ok && manifestEntries().length < 4) {
      audit = await runOperatorCommand('audit');
    }
    expect(audit.code).toEqual(EXIT_CODES.ok);
    expect(manifestEntries().map(({outcome}) => outcome)).toEqual([
      'accepted',
      'accepted',
      'VERSION_CONFLICT, not_run',
      'MANIFEST_INVALID, not_run',
    ]);
  });

  test('an operator command without the token is rejected', async () => {
    const {operatorAddress} = cluster.proxies[0];
    const run = await runCommand(['status', '--operator', operatorAddress]);
    expect(run.code).toEqual(EXIT_CODES.failure);
    expect(run.errors[0] ?? '').toMatchRegex(/^UNAUTHORIZED/);
  });
});
