import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type LostPrimary,
  combinePeerViews,
  reasonToReplace,
} from '../src/split_group';

const ONLY_PRIMARY = {reachesPrimary: true, reachesReplica: false};
const ONLY_REPLICA = {reachesPrimary: false, reachesReplica: true};
const BOTH = {reachesPrimary: true, reachesReplica: true};
const OLDER_PEER = {reachesPrimary: true};

describe('the combined view of peers', () => {
  test('tells a split group from one that some peer serves', () => {
    expect(combinePeerViews([])).toEqual('unreached');
    expect(combinePeerViews([ONLY_REPLICA])).toEqual('unreached');
    expect(combinePeerViews([ONLY_PRIMARY, ONLY_REPLICA])).toEqual('split');
    expect(combinePeerViews([ONLY_PRIMARY, BOTH])).toEqual('serving');
    expect(combinePeerViews([ONLY_PRIMARY, OLDER_PEER])).toEqual('serving');
  });
});

describe('a lost primary', () => {
  const split: LostPrimary = {
    reason: 'lost',
    view: 'split',
    hasSynchronousReplicas: true,
    canFinish: true,
  };
  const unreached: LostPrimary = {...split, view: 'unreached'};
  const missing: LostPrimary = {...unreached, reason: 'missing'};

  test('stays while a peer serves its group', () => {
    expect(reasonToReplace({...split, view: 'serving'})).toEqual(undefined);
    expect(reasonToReplace({...missing, view: 'serving'})).toEqual(undefined);
  });

  test('of a split group is replaced by a proxy that can finish', () => {
    expect(reasonToReplace(split)).toEqual('split');
    expect(reasonToReplace({...split, reason: 'missing'})).toEqual('split');
    expect(reasonToReplace({...split, canFinish: false})).toEqual(undefined);
  });

  test('that confirms writes alone stays while a peer reaches it', () => {
    const alone = {...split, hasSynchronousReplicas: false};
    expect(reasonToReplace(alone)).toEqual(undefined);
  });

  test('that no peer reaches is replaced as before, if it is known', () => {
    expect(reasonToReplace({...unreached, canFinish: false})).toEqual('lost');
    expect(reasonToReplace(missing)).toEqual('missing');
    const unfinished = {...missing, canFinish: false};
    expect(reasonToReplace(unfinished)).toEqual(undefined);
    const alone = {...unfinished, hasSynchronousReplicas: false};
    expect(reasonToReplace(alone)).toEqual('missing');
  });
});
