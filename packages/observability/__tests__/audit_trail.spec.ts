import type {PlatformClient} from '@kelpstep/platform';
import {ListedRow, createFailure} from '@kelpstep/protocol';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';

import {AuditPage, AuditTrail, createAuditTrail} from '..';

type Fault = 'none' | 'down' | 'answers-lost';

function createTablePlatform() {
  const rows: ListedRow[] = [];
  const state = {rows, writes: 0, fault: 'none' as Fault};
  const unavailable = () =>
    settledFuture(Err(createFailure('PLATFORM_UNAVAILABLE')));
  const platform: PlatformClient = {
    readRow: unavailable,
    writeRow(unusedTable, key, unusedVersion, value) {
      state.writes++;
      if (state.fault === 'down') {
        return unavailable();
      }
      if (rows.some(row => row.key === key)) {
        return settledFuture(Err(createFailure('VERSION_CONFLICT')));
      }
      rows.push({key, version: 1, value: JSON.parse(JSON.stringify(value))});
      return state.fault === 'answers-lost'
        ? unavailable()
        : settledFuture(Ok(1));
    },
    listRows(unusedTable, after, limit) {
      const later = rows.filter(row => row.key > after);
      return settledFuture(Ok(later.slice(0, limit)));
    },
    putObject: unavailable,
    getObject: unavailable,
    listInstances: unavailable,
  };
  return {platform, state};
}

function startTrail(capacity = 1000) {
  const {platform, state} = createTablePlatform();
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const trail = createAuditTrail({
    platform,
    runtime,
    proxy: 'p1',
    incarnation: 'i1',
    capacity,
  });
  return {trail, timer, state};
}

function change(to: string) {
  return {who: 'ana', what: 'manifest', from: '1', to, outcome: 'accepted'};
}

function pageAfter(trail: AuditTrail, after: string, limit: number): AuditPage {
  const pages: AuditPage[] = [];
  trail.list(after, limit).onSettled(page => pages.push(page.unwrap()));
  return pages[0] as AuditPage;
}

describe('the audit trail', () => {
  test('stores changes in batches, one row each', () => {
    const {trail, timer, state} = startTrail();
    for (let index = 0; index < 120; index++) {
      trail.record(change(String(index)));
    }
    timer.advance(1000);
    const page = pageAfter(trail, '', 100);
    expect(state.writes).toEqual(3);
    expect(page.entries.map(entry => Number(entry.to))).toEqual(
      Array.from({length: 120}, (unused, index) => index),
    );
  });

  test('buffers changes during a platform outage and counts dropped ones', () => {
    const {trail, timer, state} = startTrail(10);
    state.fault = 'down';
    trail.record(change('first'));
    timer.advance(1000);
    for (let index = 0; index < 12; index++) {
      trail.record(change(String(index)));
    }
    expect(trail.pending()).toEqual(11);
    expect(trail.dropped()).toEqual(2);
    state.fault = 'none';
    timer.advance(20_000);
    const page = pageAfter(trail, '', 100);
    expect(page.entries.length).toEqual(11);
    expect(page.dropped).toEqual(2);
    expect(trail.flushed().isSettled()).toEqual(true);
  });

  test('stores a change only once if the answer is lost', () => {
    const {trail, timer, state} = startTrail();
    state.fault = 'answers-lost';
    trail.record(change('2'));
    timer.advance(20_000);
    expect(pageAfter(trail, '', 100).entries.length).toEqual(1);
    expect(trail.pending()).toEqual(0);
  });

  test('is listed page by page', () => {
    const {trail, timer} = startTrail();
    for (const to of ['2', '3', '4']) {
      trail.record(change(to));
      timer.advance(1000);
    }
    const first = pageAfter(trail, '', 2);
    const second = pageAfter(trail, first.next ?? '', 2);
    expect(first.entries.map(entry => entry.to)).toEqual(['2', '3']);
    expect(second.entries.map(entry => entry.to)).toEqual(['4']);
    expect(second.next).toEqual(undefined);
  });
});
