import {expect} from 'earl';
import {describe, test} from 'node:test';

import {chooseWaitingPlace, createPeerReports} from '../src/relay/peer_reports';

describe('the report of a peer without room', () => {
  test('lasts until its wait has passed, at most 250 ms', () => {
    const reports = createPeerReports();
    reports.record('records', 'short', 100, 0);
    reports.record('records', 'long', 900, 0);
    reports.record('records', 'unknown', undefined, 0);
    const at = (now: number) =>
      ['short', 'long', 'unknown'].map(
        proxy => reports.current('records', proxy, now) !== undefined,
      );
    expect([at(99), at(100), at(249), at(250)]).toEqual([
      [true, true, true],
      [false, true, true],
      [false, true, true],
      [false, false, false],
    ]);
    expect(reports.current('records', 'long', 200)).toEqual({wait: 700});
  });

  test('says nothing about other workloads', () => {
    const reports = createPeerReports();
    reports.record('records', 'peer', 100, 0);
    expect(reports.current('others', 'peer', 0)).toEqual(undefined);
  });
});

describe('a peer that had no room but reported no wait', () => {
  // Guards against refusals while an older peer could start the statement.
  test('is known as such until its report ends or another one follows', () => {
    const reports = createPeerReports();
    reports.recordWithoutWait('records', 'older', 0);
    reports.record('records', 'lost', undefined, 0);
    const at = (now: number) =>
      ['older', 'lost', 'other'].map(proxy =>
        reports.isWithoutWait('records', proxy, now),
      );
    expect([at(0), at(249), at(250)]).toEqual([
      [true, false, false],
      [true, false, false],
      [false, false, false],
    ]);
    expect(reports.current('records', 'older', 1)).toEqual({wait: undefined});
    reports.record('records', 'older', 100, 1);
    expect(reports.isWithoutWait('records', 'older', 1)).toEqual(false);
  });
});

describe('a statement that no peer starts at once', () => {
  const near = {peer: 'near', roundTrip: 1, wait: 300};
  const far = {peer: 'far', roundTrip: 40, wait: 200};
  const older = {peer: 'older', roundTrip: 1};

  test('waits at the first peer that can start it in time', () => {
    expect(chooseWaitingPlace([near, far], 400, undefined)).toEqual({
      kind: 'peer',
      peer: 'near',
    });
    expect(chooseWaitingPlace([near, far], 250, undefined)).toEqual({
      kind: 'peer',
      peer: 'far',
    });
  });

  test('waits here if that takes no longer', () => {
    expect(chooseWaitingPlace([far], 400, 240)).toEqual({kind: 'here'});
    expect(chooseWaitingPlace([far], 400, 241)).toEqual({
      kind: 'peer',
      peer: 'far',
    });
  });

  test('is refused with the shortest wait if that is too long', () => {
    expect(chooseWaitingPlace([near, far, older], 100, 500)).toEqual({
      kind: 'refused',
      wait: 240,
    });
  });

  test('is not refused while no wait is known', () => {
    expect(chooseWaitingPlace([older], 0, undefined)).toEqual({
      kind: 'unknown',
    });
  });
});
