import type {TargetStatus} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {CommitEvidence} from '../src/commit_inquiry';
import {REPLICA, createFakeTarget, setUp} from './selection_setup';

describe('the selection beside a last primary', () => {
  const shorter = {...REPLICA, received: {term: 1, position: 4}};

  // Guards against a change without a result: the primary returns while it goes
  // on, is demoted, and nobody has asked how far its log reached while it led.
  test('knows the log of a primary that returns during the change', () => {
    const returning = createFakeTarget('c', {...REPLICA, role: 'primary'});
    const {hold, selected, timer} = setUp({
      members: [createFakeTarget('a', shorter), createFakeTarget('b', REPLICA)],
      primary: returning,
      evidence: {mayLackCopies: true},
    });
    hold.startDemoting();
    hold.refresh();
    expect(hold.demotedLogEnd()).toEqual(undefined);
    timer.advance(20);
    hold.refresh();
    expect(returning.status.role).toEqual('replica');
    expect(hold.demotedLogEnd()).toEqual(REPLICA.received);
    expect(selected()).toEqual('b');
  });

  // Guards against a log end that drops below the one that the row tells.
  test('does not take a returning primary at its word that has lost its log', () => {
    const {hold, runtime, timer} = setUp({
      members: [createFakeTarget('a', REPLICA)],
      primary: createFakeTarget('c', {...shorter, role: 'primary'}),
      demotedEnd: REPLICA.received,
      evidence: {mayLackCopies: true},
    });
    runtime.spawn('demote', hold.demotePrimary());
    timer.advance(500);
    expect(hold.primaryAnswer()?.status.role).toEqual('replica');
    expect(hold.demotedLogEnd()).toEqual(undefined);
  });

  /** Selects among stopped targets of which 'b' led last. */
  function selectBesideLast(
    statuses: Readonly<Record<string, TargetStatus>>,
    evidence: CommitEvidence = {mayLackCopies: true},
    term = 1,
  ): string | undefined {
    const members = Object.entries(statuses).map(([name, status]) =>
      createFakeTarget(name, status),
    );
    const {hold, selected, timer} = setUp({
      members,
      highestTerm: 2,
      evidence,
      last: {target: 'b', term},
    });
    hold.refresh();
    timer.advance(100);
    hold.refresh();
    return selected();
  }

  // Guards against a group without a primary for good: nobody vouches for copies,
  // and the last primary answers as the replica that an earlier change made of it.
  test('relies on the log of the last primary if it is stopped in its term', () => {
    expect(selectBesideLast({a: REPLICA, b: REPLICA})).toEqual('a');
    expect(selectBesideLast({a: shorter, b: REPLICA})).toEqual('b');
  });

  // Guards against the loss of commits of a last primary that has lost its log.
  test('does not rely on a last primary whose log ends before another', () => {
    expect(selectBesideLast({a: REPLICA, b: shorter})).toEqual(undefined);
  });

  test('does not rely on a last primary without a log', () => {
    const empty = {...REPLICA, received: {term: 0, position: 0}};
    expect(selectBesideLast({a: empty, b: empty})).toEqual(undefined);
  });

  // Guards against the loss of commits of a newer term than the last known one.
  test('does not rely on a last primary if a target has led since', () => {
    const newer = {...shorter, term: 2};
    expect(selectBesideLast({a: newer, b: REPLICA})).toEqual(undefined);
    expect(selectBesideLast({a: shorter, b: {...REPLICA, term: 2}})).toEqual(
      undefined,
    );
  });

  test('does not rely on a last primary that forgot the term it led', () => {
    const selected = selectBesideLast({a: shorter, b: REPLICA}, undefined, 2);
    expect(selected).toEqual(undefined);
  });

  test('does not rely on a last primary that lacks a commit known to a peer', () => {
    const newestCommit = {term: 1, after: REPLICA.received};
    expect(
      selectBesideLast(
        {a: REPLICA, b: REPLICA},
        {mayLackCopies: true, newestCommit},
      ),
    ).toEqual(undefined);
  });
});
