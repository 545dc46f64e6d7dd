import type {LogPosition} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type CopyTracker, createCopyTracker} from '../src/copy_tracker';
import type {Leadership} from '../src/group_positions';

const LEADER = {target: 'a', term: 2};

function at(position: number, term = 2) {
  return {term, position};
}

function record(
  tracker: CopyTracker,
  target: string,
  requestedAt: number,
  end: LogPosition,
  leader: Leadership,
): void {
  tracker.recordLogEnd({target, requestedAt, end}, leader);
}

function isLacking(tracker: CopyTracker): boolean {
  return tracker.state().lackingSince !== undefined;
}

function createTrackerAfterLoss() {
  const tracker = createCopyTracker(() => 100);
  tracker.recordLoss();
  return tracker;
}

describe('the copies of commits', () => {
  test('may be lacking from the loss of a replica until another catches up', () => {
    const tracker = createTrackerAfterLoss();
    expect(isLacking(tracker)).toEqual(true);
    record(tracker, 'a', 100, at(7), LEADER);
    record(tracker, 'b', 101, at(6), LEADER);
    expect(isLacking(tracker)).toEqual(true);
    record(tracker, 'b', 102, at(7), LEADER);
    expect(isLacking(tracker)).toEqual(false);
  });

  test('are compared with what the primary held after the loss', () => {
    const tracker = createTrackerAfterLoss();
    record(tracker, 'a', 99, at(7), LEADER);
    record(tracker, 'b', 120, at(7), LEADER);
    expect(isLacking(tracker)).toEqual(true);
  });

  // Guards against replicas that were rolled back under another primary.
  test('may be lacking after a change of primary', () => {
    const tracker = createCopyTracker(() => 100);
    record(tracker, 'a', 90, at(7), LEADER);
    record(tracker, 'b', 90, at(7), LEADER);
    expect(isLacking(tracker)).toEqual(false);
    const next = {target: 'b', term: 3};
    record(tracker, 'b', 110, at(9, 3), next);
    expect(isLacking(tracker)).toEqual(true);
    record(tracker, 'c', 120, at(9, 3), next);
    expect(isLacking(tracker)).toEqual(false);
  });

  // Guards against a proxy that has started since a replica left.
  test('may be lacking until they are observed', () => {
    const tracker = createCopyTracker(() => 100);
    expect(tracker.state()).toEqual({lackingSince: -Infinity, term: undefined});
  });

  test('are found on a replica that follows the primary without new records', () => {
    const tracker = createTrackerAfterLoss();
    const next = {target: 'a', term: 3};
    record(tracker, 'a', 110, at(7), next);
    const reported = {target: 'b', requestedAt: 120, end: at(7)};
    tracker.recordLogEnd(reported, next);
    expect(isLacking(tracker)).toEqual(true);
    tracker.recordLogEnd({...reported, followedTerm: 3}, next);
    expect(isLacking(tracker)).toEqual(false);
  });

  // Guards against the log of another history, which may have a later end.
  test('are not compared with records of an earlier term', () => {
    const tracker = createTrackerAfterLoss();
    const next = {target: 'a', term: 4};
    record(tracker, 'a', 110, at(9, 2), next);
    record(tracker, 'c', 120, at(1, 3), next);
    expect(isLacking(tracker)).toEqual(true);
  });

  test('are compared with the log of the newest primary', () => {
    const tracker = createTrackerAfterLoss();
    const next = {target: 'b', term: 3};
    record(tracker, 'a', 110, at(7), LEADER);
    record(tracker, 'c', 120, at(8), next);
    expect(isLacking(tracker)).toEqual(true);
    record(tracker, 'b', 130, at(9, 3), next);
    record(tracker, 'c', 140, at(9, 3), next);
    expect(isLacking(tracker)).toEqual(false);
  });
});
