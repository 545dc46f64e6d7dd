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
  ManifestKeeper,
  OfferedManifest,
  PeerManifestAnswer,
  commitManifest,
  createManifestKeeper,
  manifestDigest,
} from '..';
import {OFFICE_MANIFEST} from './examples';
import {createFakePlatform, pause} from './fake_platform';

function offered(version: number, body = OFFICE_MANIFEST): OfferedManifest {
  return {version, commitId: `c${version}`, digest: manifestDigest(body), body};
}

/** Keepers at addresses p0, p1...; the first two poll. */
function createBench(count: number) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(3)});
  const state = {platformOut: false};
  const cutOff = new Set<string>();
  const rejected: string[] = [];
  const platform = createFakePlatform({
    runtime,
    fault: () => (state.platformOut ? 'request-lost' : 'none'),
  });
  const keepers: ManifestKeeper[] = [];

  function fetchManifest(
    address: string,
    above: number,
  ): Future<Result<PeerManifestAnswer, Failure>> {
    return mapFuture(pause(runtime, 10), () => {
      const manifest = keepers[Number(address.slice(1))]?.current();
      if (cutOff.has(address)) {
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
    keepers.push(
      createManifestKeeper({
        runtime,
        platform: platform.client,
        polls: () => index < 2,
        peers: () => keepers.map((unused, peer) => `p${peer}`),
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
  function keeper(index: number): ManifestKeeper {
    const found = keepers[index];
    if (found === undefined) {
      throw new Error(`no keeper ${index}`);
    }
    return found;
  }
  const versions = () => keepers.map(each => each.version());
  return {
    ...{timer, state, platform, keepers, keeper, commit, versions},
    ...{cutOff, rejected},
  };
}

describe('the manifest keeper', () => {
  test('brings a commit into force where it polls, and elsewhere by peers', () => {
    const {timer, keepers, keeper, commit, versions} = createBench(3);
    const told: number[] = [];
    keeper(2).onChange(({version}) => told.push(version));
    keepers.forEach(each => each.start());
    commit(0);
    timer.advance(1000);
    expect(versions()).toEqual([1, 1, 1]);
    commit(1);
    timer.advance(1000);
    expect(versions()).toEqual([2, 2, 1]);
    keeper(2).heard(2, 'p0');
    timer.advance(50);
    expect(versions()).toEqual([2, 2, 2]);
    expect(told).toEqual([1, 2]);
  });

  test('knows whether it has the newest, where it polls or when it asks', () => {
    const {timer, state, keepers, keeper, commit} = createBench(3);
    const isKnown = () => keepers.map(each => each.age() <= 1000);
    keepers.forEach(each => each.start());
    commit(0);
    timer.advance(5000);
    expect(isKnown()).toEqual([true, true, false]);
    keeper(2).confirm();
    timer.advance(50);
    expect(isKnown()).toEqual([true, true, true]);
    state.platformOut = true;
    timer.advance(20_000);
    keepers.forEach(each => each.confirm());
    timer.advance(20_000);
    expect(isKnown()).toEqual([false, false, false]);
  });

  test('takes in a newer one that it finds when it asks', () => {
    const {timer, keepers, keeper, commit} = createBench(3);
    keepers.forEach(each => each.start());
    commit(0);
    timer.advance(5000);
    commit(1);
    timer.advance(1000);
    expect(keeper(2).version()).toEqual(1);
    keeper(2).confirm();
    timer.advance(50);
    expect(keeper(2).version()).toEqual(2);
    expect(keeper(2).age() <= 50).toEqual(true);
  });

  test('reads the platform no more often with more proxies', () => {
    const readsWith = (count: number) => {
      const {timer, platform, keepers, keeper} = createBench(count);
      keepers.forEach(each => each.offer(offered(1)));
      keepers.forEach(each => each.start());
      timer.advance(10_000);
      expect(keeper(0).version()).toEqual(1);
      return platform.calls.length;
    };
    expect(readsWith(20)).toEqual(readsWith(4));
  });

  test('takes no lower version, wrong digest or faulty body', () => {
    const {keeper, rejected} = createBench(1);
    expect(keeper(0).offer(offered(3))).toEqual(true);
    expect(keeper(0).offer(offered(2))).toEqual(false);
    expect(keeper(0).offer({...offered(4), digest: 'x'})).toEqual(false);
    expect(keeper(0).offer(offered(4, 'format: 2'))).toEqual(false);
    expect(keeper(0).version()).toEqual(3);
    expect(rejected.length).toEqual(2);
  });

  test('starts from the highest of several peers while the platform is out', () => {
    const {timer, state, keeper, cutOff} = createBench(4);
    state.platformOut = true;
    keeper(1).offer(offered(4));
    keeper(2).offer(offered(6));
    keeper(3).offer(offered(5));
    cutOff.add('p3');
    keeper(0).start();
    timer.advance(400);
    expect(keeper(0).version()).toEqual(6);
    expect(keeper(0).ready.isSettled()).toEqual(true);
  });

  test('is not ready while nobody has a manifest, and then soon is', () => {
    const {timer, state, keeper, commit} = createBench(2);
    state.platformOut = true;
    keeper(1).start();
    timer.advance(20_000);
    expect(keeper(1).ready.isSettled()).toEqual(false);
    state.platformOut = false;
    commit(0);
    timer.advance(3000);
    expect(keeper(1).version()).toEqual(1);
  });

  test('goes on with what it has in an outage', () => {
    const {timer, state, keeper} = createBench(1);
    keeper(0).offer(offered(2));
    keeper(0).start();
    state.platformOut = true;
    timer.advance(60_000);
    expect(keeper(0).version()).toEqual(2);
  });
});
