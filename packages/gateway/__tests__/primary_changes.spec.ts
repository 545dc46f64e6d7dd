import type {LogPosition} from '@kelpstep/protocol';
import {createVirtualTimer} from '@kelpstep/runtime';
import type {KnownSuccession, Succession} from '@kelpstep/succession';
import type {Leadership} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPrimaryChanges} from '../src/primary_changes';

const ORDERED: Succession = {
  epoch: 17,
  holder: 'proxy-1',
  phase: 'ordered',
  from: 'old',
  target: 'new',
  term: 3,
};
const HOUR_MS = 3_600_000;

function createChanges(
  succession: Succession,
  leadership: Leadership | undefined,
  rowAge = 0,
  receivedEnd?: LogPosition,
) {
  const timer = createVirtualTimer();
  const row: KnownSuccession = {
    succession,
    position: {era: 0, version: 5},
    observedAt: timer.now(),
    isLost: false,
  };
  const changes = createPrimaryChanges({
    timer,
    row: () => row,
    leadership: () => leadership,
    rowAge: () => rowAge,
    receivedEnd: () => receivedEnd,
  });
  return {timer, changes};
}

describe('a primary whose successor is ordered', () => {
  const old = {target: 'old', term: 3};

  // Guards against commits that the successor lacks when its order takes effect
  // after the time that a change usually takes.
  test('is not used again before the order has taken effect', () => {
    const {timer, changes} = createChanges(ORDERED, old);
    timer.advance(HOUR_MS);
    expect(changes.isPrimaryChanging('g')).toEqual(true);
    expect(changes.isSuperseded('g', 'old')).toEqual(true);
  });

  test('stays superseded while no newer term is known, however old the row is', () => {
    const {changes} = createChanges(ORDERED, old, HOUR_MS);
    expect(changes.isSuperseded('g', 'old')).toEqual(true);
  });

  // Guards against writes to a target that lost its log while its order was in
  // transit: they would be rolled back once the log is got back.
  test('is not replaced by a successor that leads without its log', () => {
    const targetEnd = {term: 3, position: 7};
    const ordered = {...ORDERED, targetEnd};
    const leadership = {target: 'new', term: 4};
    const empty = createChanges(ordered, leadership, 0, {term: 0, position: 0});
    expect(empty.changes.isPrimaryChanging('g')).toEqual(true);
    const whole = createChanges(ordered, leadership, 0, targetEnd);
    expect(whole.changes.isPrimaryChanging('g')).toEqual(false);
  });

  // Guards against commits that are lost when a promotion of another target,
  // ordered earlier in the change, takes effect after the successor's.
  test('confirms nothing while orders for several targets may be executed', () => {
    const contested = {...ORDERED, contested: true};
    const {changes} = createChanges(contested, {target: 'new', term: 4});
    expect(changes.isPrimaryChanging('g')).toEqual(true);
    expect(changes.isSuperseded('g', 'new')).toEqual(true);
    const done = {...contested, phase: 'done', contested: false} as const;
    const after = createChanges(done, {target: 'new', term: 4});
    expect(after.changes.isSuperseded('g', 'new')).toEqual(false);
  });

  test('is replaced as soon as the successor leads', () => {
    const {changes} = createChanges(ORDERED, {target: 'new', term: 4});
    expect(changes.isPrimaryChanging('g')).toEqual(false);
    expect(changes.isSuperseded('g', 'new')).toEqual(false);
  });

  test('does not confirm writes while another target leads a newer term', () => {
    const {changes} = createChanges(ORDERED, {target: 'other', term: 4});
    expect(changes.isSuperseded('g', 'other')).toEqual(true);
  });

  test('no longer matters if the row is old and a newer term is known', () => {
    const other = {target: 'other', term: 5};
    const {changes} = createChanges(ORDERED, other, HOUR_MS);
    expect(changes.isSuperseded('g', 'other')).toEqual(false);
  });
});

describe('a primary whose replicas are being paused', () => {
  const stopping: Succession = {...ORDERED, phase: 'stopping', target: ''};

  test('is used again if the change does not go on', () => {
    const {timer, changes} = createChanges(stopping, undefined);
    expect(changes.isPrimaryChanging('g')).toEqual(true);
    expect(changes.isSuperseded('g', 'old')).toEqual(false);
    timer.advance(HOUR_MS);
    expect(changes.isPrimaryChanging('g')).toEqual(false);
  });
});
