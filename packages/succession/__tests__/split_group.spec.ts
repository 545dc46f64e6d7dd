import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type LostPrimary,
  combinePeerViews,
  reasonToReplace,
} from '../src/split_group';

const NEITHER = {reachesPrimary: false, reachesReplica: false};
const ONLY_PRIMARY = {reachesPrimary: true, reachesReplica: false};
const ONLY_REPLICA = {reachesPrimary: false, reachesReplica: true};
const BOTH = {reachesPrimary: true, reachesReplica: true};
const OLDER_PEER = {reachesPrimary: true};

const SPLIT: LostPrimary = {
  reason: 'lost',
  view: 'split',
  hasSynchronousReplicas: true,
  canFinish: true,
};

describe('the combined view of peers', () => {
  test('is unreached if no peer reaches the primary', () => {
    expect(combinePeerViews([])).toEqual('unreached');
    expect(combinePeerViews([NEITHER, ONLY_REPLICA])).toEqual('unreached');
  });

  test('is serving if one peer reaches the primary and a replica', () => {
    expect(combinePeerViews([ONLY_PRIMARY, BOTH])).toEqual('serving');
  });

  test('is split if different peers reach the primary and the replicas', () => {
    expect(combinePeerViews([ONLY_PRIMARY, ONLY_REPLICA])).toEqual('split');
  });

  test('is serving if an older peer reaches the primary', () => {
    expect(combinePeerViews([ONLY_PRIMARY, OLDER_PEER])).toEqual('serving');
  });
});

describe('a lost primary', () => {
  test('stays while a peer reaches it and a replica', () => {
    for (const reason of ['lost', 'missing'] as const) {
      const serving: LostPrimary = {...SPLIT, reason, view: 'serving'};
      expect(reasonToReplace(serving)).toEqual(undefined);
    }
  });

  test('is replaced if its group is split', () => {
    expect(reasonToReplace(SPLIT)).toEqual('split');
    expect(reasonToReplace({...SPLIT, reason: 'missing'})).toEqual('split');
  });

  test('of a split group stays if this proxy cannot finish the change', () => {
    expect(reasonToReplace({...SPLIT, canFinish: false})).toEqual(undefined);
  });

  test('that confirms writes alone stays while a peer reaches it', () => {
    const alone = {...SPLIT, hasSynchronousReplicas: false};
    expect(reasonToReplace(alone)).toEqual(undefined);
  });

  test('is replaced if no peer reaches it', () => {
    for (const canFinish of [true, false]) {
      const lost: LostPrimary = {...SPLIT, view: 'unreached', canFinish};
      expect(reasonToReplace(lost)).toEqual('lost');
    }
  });

  test('that is unknown is replaced only if the change can be finished', () => {
    const missing: LostPrimary = {
      ...SPLIT,
      reason: 'missing',
      view: 'unreached',
    };
    expect(reasonToReplace(missing)).toEqual('missing');
    expect(reasonToReplace({...missing, canFinish: false})).toEqual(undefined);
    const alone = {...missing, hasSynchronousReplicas: false, canFinish: false};
    expect(reasonToReplace(alone)).toEqual('missing');
  });
});
