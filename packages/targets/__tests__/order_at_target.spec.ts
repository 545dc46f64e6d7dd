import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  ACCOUNTS,
  COSTLY_ROUTE,
  HOT_ACCOUNT,
  createLoadedLink,
  replayLoad,
} from './target_load';

const SEEDS = [1, 2, 3, 4];
const BURST = {load: 0.4, burst: 2.6};

type Result = ReturnType<typeof replayLoad>;

/** Served share over all runs; in one run, 2 points are 4 statements. */
function servedShare(results: readonly Result[], account: string): number {
  const counts = results.map(result =>
    result.countsOf(each => each === account),
  );
  const served = counts.reduce((sum, count) => sum + count.served, 0);
  return served / counts.reduce((sum, count) => sum + count.started, 0);
}

describe('accounts beside one at eight times its load, in a burst', () => {
  const usual = SEEDS.map(seed => replayLoad({seed, ...BURST}));
  const hot = SEEDS.map(seed => replayLoad({seed, ...BURST, hot: 8}));

  // Guards against an order in which the hot account takes slots and
  // connections of the others.
  test('lose at most two points of their served share', () => {
    const losses = ACCOUNTS.filter(account => account !== HOT_ACCOUNT).map(
      account => servedShare(usual, account) - servedShare(hot, account),
    );
    const isKept = Math.max(...losses) <= 0.02;
    expect({losses, isKept}).toEqual({losses, isKept: true});
  });

  test('have their statements of the costly route served', () => {
    for (const {countsOf} of hot) {
      const {served, started} = countsOf(
        (account, kind) =>
          account !== HOT_ACCOUNT && kind === COSTLY_ROUTE.kind,
      );
      expect(served / started).toBeGreaterThan(0.99);
    }
  });

  // Guards against statements that close each other's connections. By worth per
  // slot time alone, 0.51 to 0.53 connections are opened per statement.
  test('reuse connections', () => {
    for (const {opened, started} of hot) {
      expect(opened / started).toBeLessThan(0.4);
    }
  });
});

describe('accounts at twice the capacity', () => {
  // Guards against slots that are spent on opening connections.
  test('get at least 0.9 of the highest goodput', () => {
    const goodputs = [0.75, 1, 1.5, 2].map(
      load => replayLoad({seed: 1, load}).goodput,
    );
    const isKept = (goodputs.at(-1) ?? 0) >= 0.9 * Math.max(...goodputs);
    expect({goodputs, isKept}).toEqual({goodputs, isKept: true});
  });
});

describe('a statement whose account has its connections pinned', () => {
  // Guards against a queued statement without an end.
  test('is started or refused by its latest start', () => {
    for (const connections of [1, 4]) {
      const {timer, link, createStatement} = createLoadedLink(1, connections);
      const ends: Array<{kind: string; isInTime: boolean}> = [];
      // One connection beyond the share may be opened.
      for (let count = 0; count < connections + 1; count++) {
        const begin = createStatement(COSTLY_ROUTE, HOT_ACCOUNT);
        const request = {body: {kind: 'begin', readOnly: false}} as const;
        void link.pin({...begin, request});
        timer.advance(50);
      }
      for (const user of [HOT_ACCOUNT, HOT_ACCOUNT, 'a1']) {
        const statement = createStatement(COSTLY_ROUTE, user);
        link.run(statement).onSettled(({kind}) => {
          const isInTime = timer.now() <= statement.deadline;
          ends.push({kind, isInTime});
        });
      }
      timer.advance(COSTLY_ROUTE.timeout);
      const refused = {kind: 'refused', isInTime: true};
      expect(ends).toEqual([refused, refused, refused]);
    }
  });
});

describe('a statement whose account has a connection without answer', () => {
  // Guards against a wait for it until the latest start.
  test('is started on a new connection', () => {
    const {timer, link, opened, createStatement} = createLoadedLink(1);
    const run = (duration: number, onAnswer: () => void) => {
      const statement = createStatement({...COSTLY_ROUTE, duration}, 'a1');
      link.run(statement).onSettled(onAnswer);
    };
    run(COSTLY_ROUTE.duration, () => {});
    timer.advance(50);
    run(Infinity, () => {});
    timer.advance(1);
    let answeredAt = Infinity;
    run(COSTLY_ROUTE.duration, () => (answeredAt = timer.now()));
    timer.advance(1);
    expect(opened()).toEqual(1);
    timer.advance(100);
    expect(answeredAt).toBeLessThan(100);
  });
});

describe('statements that are queued for an ejected target', () => {
  // Guards against statements that wait there although others could run them.
  test('leave the queue if another target may run them', () => {
    const {timer, link, createStatement} = createLoadedLink(1);
    const ends: string[] = [];
    for (let count = 1; count <= 16; count++) {
      const isMovable = count % 2 === 0;
      const statement = {
        ...createStatement(COSTLY_ROUTE, undefined),
        isMovable,
      };
      link.run(statement).onSettled(({kind}) => ends.push(kind));
    }
    timer.advance(1);
    link.withdrawQueued();
    const withdrawn = ends.filter(kind => kind === 'withdrawn').length;
    timer.advance(COSTLY_ROUTE.timeout);
    const answered = ends.filter(kind => kind === 'answered').length;
    // Four statements had started, two of which are movable.
    expect([withdrawn, answered]).toEqual([6, 10]);
  });
});
