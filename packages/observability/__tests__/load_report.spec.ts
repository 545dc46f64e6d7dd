import {expect} from 'earl';
import {describe, test} from 'node:test';

import {parseMetrics, summarizeLoad} from '..';

function summarize(lines: readonly string[]) {
  return summarizeLoad(parseMetrics(lines.join('\n')));
}

describe('the load of several proxies', () => {
  // Guards against sums that mix groups, states or unrelated metrics.
  test('is summed by group, those with most connections in use first', () => {
    const connections = 'kelpstep_group_connections';
    const {groups} = summarize([
      `${connections}{group="a",target="t",state="idle"} 9`,
      `${connections}{group="b",target="t",state="idle"} 1`,
      `${connections}{group="b",target="t",state="used"} 2`,
      `${connections}{group="b",target="u",state="pinned"} 3`,
      `${connections}{group="b",target="t",state="used"} 4`,
      'kelpstep_group_queue{group="b",target="t"} 5',
      'kelpstep_group_queue{group="b",target="u"} 6',
      'kelpstep_refusals_total{group="a",reason="no room"} 7',
      'kelpstep_refusals_total{group="a",reason="overloaded"} 8',
      'kelpstep_targets_ejected{group="a"} 1',
      'kelpstep_target_connections_opened_total{group="b"} 1000',
      'kelpstep_target_connections{target="t"} 1000',
    ]);
    expect(groups).toEqual([
      {
        ...{group: 'b', open: 10, used: 6, pinned: 3},
        ...{queued: 11, refused: 0, ejected: 0},
      },
      {
        ...{group: 'a', open: 9, used: 0, pinned: 0},
        ...{queued: 0, refused: 15, ejected: 1},
      },
    ]);
  });

  // Guards against an account that seems to be the largest because it is the
  // sum of many.
  test('is summed by account, the largest first and the others last', () => {
    const operations = 'kelpstep_account_operations_total';
    const {accounts} = summarize([
      `${operations}{account="small"} 1`,
      `${operations}{account="all others"} 500`,
      `${operations}{account="large"} 20`,
      `${operations}{account="small"} 2`,
      'kelpstep_account_quota_refusals_total{account="small"} 4',
    ]);
    expect(accounts).toEqual([
      {account: 'large', operations: 20, refusedForQuota: 0},
      {account: 'small', operations: 3, refusedForQuota: 4},
      {account: 'all others', operations: 500, refusedForQuota: 0},
    ]);
  });

  // Guards against a sum that is not a number because of one proxy.
  test('leaves out values that are not finite', () => {
    const {groups} = summarize([
      'kelpstep_group_queue{group="a"} NaN',
      'kelpstep_group_queue{group="a"} 2',
    ]);
    expect(groups.map(({queued}) => queued)).toEqual([2]);
  });
});
