import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createTargetReturn} from '../src/target_return';

/** Ejects again by a failed trial, as soon as one may start. */
function failTrialAt(
  target: ReturnType<typeof createTargetReturn>,
  now: number,
) {
  const before = target.admission(now - 1);
  const admission = target.admission(now);
  target.startTrial();
  target.endTrial('failure', now);
  return [before, admission];
}

/** Returns an ejected target to its share at `now`. */
function succeed(target: ReturnType<typeof createTargetReturn>, now: number) {
  return [1, 2, 3].map(() => {
    target.startTrial();
    return target.endTrial('success', now);
  });
}

describe('the return of an ejected target', () => {
  // Guards against reads that are delayed by a target that has not recovered.
  test('takes twice as long after each failed trial, up to 8 s', () => {
    const target = createTargetReturn();
    target.eject(0);
    const ends = [500, 1500, 3500, 7500, 15_500, 23_500];
    const seen = ends.map(end => failTrialAt(target, end));
    expect(seen).toEqual(ends.map(() => ['none', 'trial']));
  });

  // Guards against a long ejection for a failure hours after another.
  test('starts with 500 ms again after 10 s without an ejection', () => {
    const target = createTargetReturn();
    target.eject(0);
    succeed(target, 500);
    target.eject(10_499);
    expect(target.admission(10_499 + 999)).toEqual('none');
    succeed(target, 11_499);
    target.eject(21_500);
    expect([
      target.admission(21_500 + 499),
      target.admission(21_500 + 500),
    ]).toEqual(['none', 'trial']);
  });

  // Guards against several reads that are delayed at the same time.
  test('has one trial at a time and needs three successes', () => {
    const target = createTargetReturn();
    target.eject(0);
    target.startTrial();
    const during = target.admission(600);
    target.endTrial('none', 600);
    expect([during, target.admission(600)]).toEqual(['none', 'trial']);
    expect(succeed(target, 700)).toEqual([undefined, undefined, 'returned']);
  });

  // Guards against all reads going to a target whose caches are still empty.
  test('grows from one read in eight to all within 750 ms', () => {
    const target = createTargetReturn();
    target.eject(0);
    succeed(target, 1000);
    const shares = [1000, 1250, 1500].map(now => {
      const reads = Array.from({length: 80}, () => target.takesShare(now));
      return [target.admission(now), reads.filter(Boolean).length];
    });
    expect(shares).toEqual([
      ['share', 10],
      ['share', 20],
      ['share', 40],
    ]);
    expect(target.admission(1750)).toEqual('all');
  });
});
