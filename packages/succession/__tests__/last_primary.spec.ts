import {expect} from 'earl';
import {describe, test} from 'node:test';

import {REPLICA, createFakeTarget, setUp} from './selection_setup';

describe('the selection beside a last primary', () => {
  const shorter = {...REPLICA, received: {term: 1, position: 4}};

  // Guards against a change without a result: the primary returns while it goes
  // on, is demoted, and nobody has asked how far its log reached while it led.
  test('knows the log of a primary that returns during the change', () => {
    const returning = createFakeTarget('c', {...REPLICA, role: 'primary'});
    const {hold, selected, timer} = setUp(
      [createFakeTarget('a', shorter), createFakeTarget('b', REPLICA)],
      returning,
      1,
      {mayLackCopies: true},
    );
    hold.startDemoting();
    hold.refresh();
    expect(hold.demotedLogEnd()).toEqual(undefined);
    timer.advance(20);
    hold.refresh();
    expect(returning.status.role).toEqual('replica');
    expect(hold.demotedLogEnd()).toEqual(REPLICA.received);
    expect(selected()).toEqual('b');
  });

  test('does not take a returning primary at its word that has lost its log', () => {
    const returning = createFakeTarget('c', {...shorter, role: 'primary'});
    const {hold, timer} = setUp(
      [createFakeTarget('a', REPLICA)],
      returning,
      1,
      {mayLackCopies: true},
      0,
      undefined,
      REPLICA.received,
    );
    hold.startDemoting();
    hold.refresh();
    timer.advance(20);
    hold.refresh();
    timer.advance(100);
    hold.refresh();
    expect(hold.demotedLogEnd()).toEqual(undefined);
  });
});
