import {Failure, createFailure} from '@kelpstep/protocol';
import {
  Future,
  createRandom,
  createRuntime,
  createVirtualTimer,
  mapFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, Result} from 'ts-results';

import {
  ManifestSynchronizer,
  OfferedManifest,
  PeerManifestResult,
  commitManifest,
  createManifestSynchronizer,
  manifestDigest,
} from '..';
import {OFFICE_MANIFEST} from './examples';
import {createFakePlatform, delayed} from './fake_platform';

function offered(version: number, body = OFFICE_MANIFEST): OfferedManifest {
  return {version, commitId: `c${version}`, digest: manifestDigest(body), body};
}

/** Creates synchronizers at addresses p0, p1 and so on. The first two poll. */
function createFixture(count: number) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(3)});
  const state = {isPlatformDown: false};
  const partitioned = new Set<string>();
  const rejected: string[] = [];
  const platform = createFakePlatform({
    runtime,
    fault: () => (state.isPlatformDown ? 'request-lost' : 'none'),
  });
  const synchronizers: ManifestSynchronizer[] = [];

  function fetchManifest(
    address: string,
    above: number,
  ): Future<Result<PeerManifestResult, Failure>> {
    return mapFuture(delayed(runtime, 10), () => {
      const manifest = synchronizers[Number(address.slice(1))]?.current();
      if (partitioned.has(address)) {
        return Err(createFailure('OUTCOME_UNKNOWN'));
      }
      return Ok(
        manifest === undefined || manifest.version <= above
          ? {}
          : {manifest: offered(manifest.version, manifest.body)},
      );
    });
  }

  for (let index = 0; index < count; index++) {
    synchronizers.push(
      createManifestSynchronizer({
        runtime,
        platform: platform.client,
        polls: () => index < 2,
        peers: () => synchronizers.map((unused, peer) => `p${peer}`),
        fetchManifest,
        onRejected: (unusedVersion, reason) => rejected.push(reason),
      }),
    );
  }

  function commit(expectedVersion: number): void {
    const body = OFFICE_MANIFEST.replace(
      'worth: 1,',
      `worth: ${expectedVersion + 1},`,
    );
    runtime.spawn(
      'commit',
      commitManifest({
        runtime,
        platform: platform.client,
        body,
        fileName: 'manifest.yaml',
        expectedVersion,
        commitId: `commit-${expectedVersion}`,
        committedBy: 'operator',
      }),
    );
  }
  function synchronizer(index: number): ManifestSynchronizer {
    const found = synchronizers[index];
    if (found === undefined) {
      throw new Error(`no synchronizer ${index}`);
    }
    return found;
  }
  const versions = () => synchronizers.map(each => each.version());
  return {
    ...{timer, state, platform, synchronizers, synchronizer, commit, versions},
    ...{partitioned, rejected},
  };
}

describe('the manifest synchronizer', () => {
  test('puts a commit in force by polling, or through peers elsewhere', () => {
    const {timer, synchronizers, synchronizer, commit, versions} =
      createFixture(3);
    const versionsInForce: number[] = [];
    synchronizer(2).onChange(({version}) => versionsInForce.push(version));
    synchronizers.forEach(each => each.start());
    commit(0);
    timer.advance(1000);
    expect(versions()).toEqual([1, 1, 1]);
    commit(1);
    timer.advance(1000);
    expect(versions()).toEqual([2, 2, 1]);
    synchronizer(2).notePeerVersion(2, 'p0');
    timer.advance(50);
    expect(versions()).toEqual([2, 2, 2]);
    expect(versionsInForce).toEqual([1, 2]);
  });

  test('knows that its version is current after a poll or a refresh', () => {
    const {timer, state, synchronizers, synchronizer, commit} =
      createFixture(3);
    const isKnown = () => synchronizers.map(each => each.age() <= 1000);
    synchronizers.forEach(each => each.start());
    commit(0);
    timer.advance(5000);
    expect(isKnown()).toEqual([true, true, false]);
    synchronizer(2).refresh();
    timer.advance(50);
    expect(isKnown()).toEqual([true, true, true]);
    state.isPlatformDown = true;
    timer.advance(20_000);
    synchronizers.forEach(each => each.refresh());
    timer.advance(20_000);
    expect(isKnown()).toEqual([false, false, false]);
  });

  test('puts a newer version in force that a refresh finds', () => {
    const {timer, synchronizers, synchronizer, commit} = createFixture(3);
    synchronizers.forEach(each => each.start());
    commit(0);
    timer.advance(5000);
    commit(1);
    timer.advance(1000);
    expect(synchronizer(2).version()).toEqual(1);
    synchronizer(2).refresh();
    timer.advance(50);
    expect(synchronizer(2).version()).toEqual(2);
    expect(synchronizer(2).age() <= 50).toEqual(true);
  });

  test('reads the platform at the same rate with more proxies', () => {
    const readsWith = (count: number) => {
      const {timer, platform, synchronizers, synchronizer} =
        createFixture(count);
      synchronizers.forEach(each => each.offer(offered(1)));
      synchronizers.forEach(each => each.start());
      timer.advance(10_000);
      expect(synchronizer(0).version()).toEqual(1);
      return platform.calls.length;
    };
    expect(readsWith(20)).toEqual(readsWith(4));
  });

  test('rejects lower versions, wrong digests and invalid bodies', () => {
    const {synchronizer, rejected} = createFixture(1);
    expect(synchronizer(0).offer(offered(3))).toEqual(true);
    expect(synchronizer(0).offer(offered(2))).toEqual(false);
    expect(synchronizer(0).offer({...offered(4), digest: 'x'})).toEqual(false);
    expect(synchronizer(0).offer(offered(4, 'format: 2'))).toEqual(false);
    expect(synchronizer(0).version()).toEqual(3);
    expect(rejected.length).toEqual(2);
  });

  test('starts with the highest version of its peers in a platform outage', () => {
    const {timer, state, synchronizer, partitioned} = createFixture(4);
    state.isPlatformDown = true;
    synchronizer(1).offer(offered(4));
    synchronizer(2).offer(offered(6));
    synchronizer(3).offer(offered(5));
    partitioned.add('p3');
    synchronizer(0).start();
    timer.advance(400);
    expect(synchronizer(0).version()).toEqual(6);
    expect(synchronizer(0).ready.isSettled()).toEqual(true);
  });

  test('becomes ready only after a first manifest is committed', () => {
    const {timer, state, synchronizer, commit} = createFixture(2);
    state.isPlatformDown = true;
    synchronizer(1).start();
    timer.advance(20_000);
    expect(synchronizer(1).ready.isSettled()).toEqual(false);
    state.isPlatformDown = false;
    commit(0);
    timer.advance(3000);
    expect(synchronizer(1).version()).toEqual(1);
  });

  test('keeps its manifest during a platform outage', () => {
    const {timer, state, synchronizer} = createFixture(1);
    synchronizer(0).offer(offered(2));
    synchronizer(0).start();
    state.isPlatformDown = true;
    timer.advance(60_000);
    expect(synchronizer(0).version()).toEqual(2);
  });
});
