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
  REMEMBERED_COMMITS,
  commitManifest,
} from '..';
import {OFFICE_MANIFEST, SMALL_MANIFEST} from './examples';
import {Fault, createFakePlatform} from './fake_platform';

type CommitResult = Result<AcceptedManifest, CommitFailure>;

/** A manifest that is different for each mark. */
function bodyOf(mark: number): string {
  return SMALL_MANIFEST.replace('worth: 1,', `worth: ${mark + 1},`);
}

function createBench(seed: number, fault?: (call: string) => Fault) {
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

/** A fault of the n-th call of a kind; the others go well. */
function nth(call: string, number: number, fault: Fault) {
  let seen = 0;
  return (made: string): Fault =>
    made === call && ++seen === number ? fault : 'none';
}

function failureName(result: CommitResult): string {
  return result.err ? result.val.failure.name : 'accepted';
}

describe('committing a manifest', () => {
  test('raises the version by one and stores the body', () => {
    const {commit, platform, winners} = createBench(1);
    expect(commit('a', 0).unwrap().version).toEqual(1);
    const second = commit('b', 1).unwrap();
    expect(second.version).toEqual(2);
    expect(platform.objects.get(second.digest)).toEqual(second.body);
    expect(winners()).toEqual(['a', 'b']);
  });

  test('answers a conflict with the commit that is in force', () => {
    const {commit} = createBench(1);
    commit('a', 0);
    const late = commit('b', 0);
    expect(failureName(late)).toEqual('VERSION_CONFLICT');
    expect(late.err && late.val.failure.outcome).toEqual('not_run');
    expect(late.err && late.val.current?.commitId).toEqual('a');
    expect(late.err && late.val.current?.committedBy).toEqual('operator of a');
    expect(failureName(commit('c', 5))).toEqual('VERSION_CONFLICT');
  });

  test('refuses faulty texts and successors without touching the row', () => {
    const {commit, platform} = createBench(1);
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

  test('finds out that it won after a lost answer', () => {
    const {commit, winners} = createBench(1, nth('writeRow', 1, 'answer-lost'));
    expect(commit('a', 0).unwrap().version).toEqual(1);
    expect(winners()).toEqual(['a']);
  });

  test('finds out that it won though others committed on top', () => {
    const {begin, commit, timer, winners, runtime} = createBench(
      1,
      nth('writeRow', 1, 'answer-lost'),
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
    // The same id with another body is another commit.
    expect(failureName(commit('a', 0, bodyOf(9)))).toEqual('VERSION_CONFLICT');
  });

  test('says unknown once the row has forgotten the version', () => {
    const {commit} = createBench(1);
    for (let version = 0; version < REMEMBERED_COMMITS + 2; version++) {
      commit(`commit-${version}`, version).unwrap();
    }
    const forgotten = commit('commit-0', 0, bodyOf(0));
    expect(forgotten.err && forgotten.val.failure.outcome).toEqual('unknown');
    expect(commit('commit-1', 1, bodyOf(1)).unwrap().version).toEqual(2);
  });

  test('says unknown if the platform stays out, not run if it never was in', () => {
    let writes = 0;
    const out = createBench(1, call => {
      writes += call === 'writeRow' ? 1 : 0;
      return writes > 0 ? 'request-lost' : 'none';
    }).commit('a', 0);
    expect(out.err && out.val.failure.outcome).toEqual('unknown');
    const never = createBench(1, () => 'request-lost').commit('a', 0);
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

/** Operators that race with each other over a platform full of faults. */
function race(seed: number) {
  const random = createRandom(seed);
  const bench = createBench(seed, () => random.pick(FAULTS));
  const answers = new Map<string, CommitResult>();

  function* operate(name: string) {
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
    bench.runtime.spawn(name, operate(name));
  }
  bench.timer.advance(30_000);
  return {answers, winners: bench.winners()};
}

describe('racing commits over a faulty platform', () => {
  test('are told accepted only if they won, not run only if they lost', () => {
    const told = {accepted: 0, lost: 0, unknown: 0};
    for (let seed = 1; seed <= 200; seed++) {
      const {answers, winners} = race(seed);
      expect(answers.size).toEqual(12);
      for (const [commitId, result] of answers) {
        const won = winners.indexOf(commitId);
        if (result.ok) {
          told.accepted++;
          expect([seed, won + 1]).toEqual([seed, result.val.version]);
        } else if (result.val.failure.outcome === 'not_run') {
          told.lost++;
          expect([seed, won]).toEqual([seed, -1]);
        } else {
          told.unknown++;
        }
      }
    }
    expect(Math.min(told.accepted, told.lost, told.unknown)).toBeGreaterThan(9);
  });
});
