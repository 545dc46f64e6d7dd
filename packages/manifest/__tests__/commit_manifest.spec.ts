import {manifestRowSchema} from '@kelpstep/protocol';
import {
  Future,
  createRandom,
  createRuntime,
  createVirtualTimer,
  sleep,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import type {Result} from 'ts-results';

import {
  AcceptedManifest,
  CommitFailure,
  MAXIMUM_RECENT_COMMITS,
  commitManifest,
} from '..';
import {OFFICE_MANIFEST, SMALL_MANIFEST} from './examples';
import {Fault, createFakePlatform} from './fake_platform';

type CommitResult = Result<AcceptedManifest, CommitFailure>;

/** Returns the text of a manifest that differs for each mark. */
function bodyOf(mark: number): string {
  return SMALL_MANIFEST.replace('worth: 1,', `worth: ${mark + 1},`);
}

function createFixture(seed: number, fault?: (call: string) => Fault) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(seed)});
  const platform = createFakePlatform({runtime, fault});

  function begin(
    commitId: string,
    expectedVersion: number,
    body = bodyOf(expectedVersion),
  ): Future<CommitResult> {
    const task = commitManifest({
      runtime,
      platform: platform.client,
      body,
      fileName: 'manifest.yaml',
      expectedVersion,
      commitId,
      committedBy: `operator of ${commitId}`,
      timeLimit: 4000,
    });
    return runtime.spawn(commitId, task).result;
  }

  function commit(
    commitId: string,
    expectedVersion: number,
    body?: string,
  ): CommitResult {
    const results: CommitResult[] = [];
    begin(commitId, expectedVersion, body).onSettled(result => {
      results.push(result);
    });
    timer.runUntil(() => results.length > 0, 10_000);
    const [result] = results;
    if (result === undefined) {
      throw new Error('The commit gave no answer.');
    }
    return result;
  }

  function winners(): string[] {
    return platform.written.map(
      ({value}) => manifestRowSchema.parse(value).commitId,
    );
  }
  return {timer, runtime, platform, begin, commit, winners};
}

/**
 * Returns a function that gives the n-th call with a name a fault. All other
 * calls succeed.
 */
function faultAt(call: string, number: number, fault: Fault) {
  let seen = 0;
  return (made: string): Fault =>
    made === call && ++seen === number ? fault : 'none';
}

function failureName(result: CommitResult): string {
  return result.err ? result.val.failure.name : 'accepted';
}

describe('committing a manifest', () => {
  test('raises the version by one and stores the body', () => {
    const {commit, platform, winners} = createFixture(1);
    expect(commit('a', 0).unwrap().version).toEqual(1);
    const second = commit('b', 1).unwrap();
    expect(second.version).toEqual(2);
    expect(platform.objects.get(second.digest)).toEqual(second.body);
    expect(winners()).toEqual(['a', 'b']);
  });

  test('reports the commit in force when a version conflicts', () => {
    const {commit} = createFixture(1);
    commit('a', 0);
    const late = commit('b', 0);
    expect(failureName(late)).toEqual('VERSION_CONFLICT');
    expect(late.err && late.val.failure.outcome).toEqual('not_run');
    expect(late.err && late.val.current?.commitId).toEqual('a');
    expect(late.err && late.val.current?.committedBy).toEqual('operator of a');
    expect(failureName(commit('c', 5))).toEqual('VERSION_CONFLICT');
  });

  test('rejects invalid manifests and updates without writing the row', () => {
    const {commit, platform} = createFixture(1);
    expect(failureName(commit('a', 0, 'format: 2'))).toEqual(
      'MANIFEST_INVALID',
    );
    expect(platform.written).toEqual([]);
    commit('b', 0, OFFICE_MANIFEST);
    const moved = OFFICE_MANIFEST.replace('0.1:7411', '0.1:7499');
    const refused = commit('c', 1, moved);
    expect(failureName(refused)).toEqual('MANIFEST_INVALID');
    expect(refused.err && refused.val.findings[0]?.line).toEqual(9);
    expect(platform.written.length).toEqual(1);
  });

  test('detects that it was accepted after a lost answer', () => {
    const {commit, winners} = createFixture(
      1,
      faultAt('writeRow', 1, 'answer-lost'),
    );
    expect(commit('a', 0).unwrap().version).toEqual(1);
    expect(winners()).toEqual(['a']);
  });

  test('detects that it was accepted although later commits follow it', () => {
    const {begin, commit, timer, winners, runtime} = createFixture(
      1,
      faultAt('writeRow', 1, 'answer-lost'),
    );
    const first: CommitResult[] = [];
    begin('a', 0).onSettled(result => first.push(result));
    runtime.spawn(
      'others',
      (function* () {
        yield* sleep(60);
        begin('b', 1);
        yield* sleep(60);
        begin('c', 2);
      })(),
    );
    timer.advance(5000);
    expect(winners()).toEqual(['a', 'b', 'c']);
    expect(first[0]?.unwrap().version).toEqual(1);
    expect(commit('a', 0, bodyOf(0)).unwrap().version).toEqual(1);
    // The same id with a different body is a different commit.
    expect(failureName(commit('a', 0, bodyOf(9)))).toEqual('VERSION_CONFLICT');
  });

  test('reports an unknown outcome once the row no longer records the version', () => {
    const {commit} = createFixture(1);
    for (let version = 0; version < MAXIMUM_RECENT_COMMITS + 2; version++) {
      commit(`commit-${version}`, version).unwrap();
    }
    const forgotten = commit('commit-0', 0, bodyOf(0));
    expect(forgotten.err && forgotten.val.failure.outcome).toEqual('unknown');
    expect(commit('commit-1', 1, bodyOf(1)).unwrap().version).toEqual(2);
  });

  test('reports unknown in an outage after the write, not run in one before it', () => {
    let writes = 0;
    const out = createFixture(1, call => {
      writes += call === 'writeRow' ? 1 : 0;
      return writes > 0 ? 'request-lost' : 'none';
    }).commit('a', 0);
    expect(out.err && out.val.failure.outcome).toEqual('unknown');
    const never = createFixture(1, () => 'request-lost').commit('a', 0);
    expect(never.err && never.val.failure.outcome).toEqual('not_run');
  });
});

const FAULTS: readonly Fault[] = [
  'none',
  'none',
  'request-lost',
  'answer-lost',
  'late',
  'refused',
];

/** Runs concurrent commits of several operators on a faulty platform. */
function runConcurrentCommits(seed: number) {
  const random = createRandom(seed);
  const bench = createFixture(seed, () => random.pick(FAULTS));
  const answers = new Map<string, CommitResult>();

  function* submitCommits(name: string) {
    for (let attempt = 0; attempt < 4; attempt++) {
      const commitId = `${name}-${attempt}`;
      const expectedVersion = bench.platform.written.length;
      bench.begin(commitId, expectedVersion).onSettled(result => {
        answers.set(commitId, result);
      });
      yield* sleep(random.integer(1, 3000));
    }
  }
  for (const name of ['a', 'b', 'c']) {
    bench.runtime.spawn(name, submitCommits(name));
  }
  bench.timer.advance(30_000);
  return {answers, winners: bench.winners()};
}

describe('concurrent commits on a faulty platform', () => {
  test('report accepted only if they won and not run only if they lost', () => {
    const outcomes = {accepted: 0, lost: 0, unknown: 0};
    for (let seed = 1; seed <= 200; seed++) {
      const {answers, winners} = runConcurrentCommits(seed);
      expect(answers.size).toEqual(12);
      for (const [commitId, result] of answers) {
        const won = winners.indexOf(commitId);
        if (result.ok) {
          outcomes.accepted++;
          expect([seed, won + 1]).toEqual([seed, result.val.version]);
        } else if (result.val.failure.outcome === 'not_run') {
          outcomes.lost++;
          expect([seed, won]).toEqual([seed, -1]);
        } else {
          outcomes.unknown++;
        }
      }
    }
    expect(
      Math.min(outcomes.accepted, outcomes.lost, outcomes.unknown),
    ).toBeGreaterThan(9);
  });
});
