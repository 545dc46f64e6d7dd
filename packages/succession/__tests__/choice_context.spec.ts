import type {LogPosition} from '@kelpstep/protocol';
import type {DepartedTarget, TargetGroup} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  describeContext,
  formatContext,
  withMissingTime,
} from '../src/choice_context';
import type {ConsideredTarget} from '../src/choice_report';
import type {CommitEvidence} from '../src/commit_inquiry';
import type {ReplicationHold} from '../src/replication_hold';

const NOW = 1000;

function at(position: number): LogPosition {
  return {term: 2, position};
}

function considered(target: string, position: number): ConsideredTarget {
  const status = {
    role: 'replica',
    term: 2,
    received: at(position),
    termHeld: 3,
  } as const;
  return {target, status, age: 5, verdict: 'complete'};
}

interface Known {
  readonly completeEnd?: LogPosition;
  readonly demotedEnd?: LogPosition;
  readonly recordedEnd?: LogPosition;
  readonly evidence?: readonly CommitEvidence[];
  readonly departed?: readonly DepartedTarget[];
  readonly remainingWait?: number;
  readonly vouchedEnd?: LogPosition;
}

function describeKnown(known: Known) {
  const link = {target: 'a'};
  const group = {
    positions: {
      receivedEnd: () => at(8),
      logOf: () => ({requestedAt: 0, position: at(9)}),
    },
    departed: () => known.departed ?? [],
  } as unknown as TargetGroup;
  const hold = {
    primary: {link, term: 2, completeEnd: known.recordedEnd},
    completeEnd: () => known.completeEnd,
    demotedLogEnd: () => known.demotedEnd,
  } as unknown as ReplicationHold;
  return describeContext({
    group,
    hold,
    inquiry: {
      evidence: () => known.evidence ?? [],
      lastPrimary: () => ({target: 'a', term: 2}),
      remainingWait: () => known.remainingWait ?? Infinity,
    },
    considered: [considered('a', 90), considered('b', 6), considered('c', 7)],
    vouchedEnd: known.vouchedEnd,
    now: NOW,
  });
}

describe('the context of a choice', () => {
  test('has the log end that was required, and where it is from', () => {
    expect(describeKnown({}).required).toEqual({
      end: at(7),
      source: 'longest log',
    });
    const demoted = {completeEnd: at(9), demotedEnd: at(9)};
    expect(describeKnown(demoted).required?.source).toEqual('demoted primary');
    const row = {completeEnd: at(7), demotedEnd: at(9), recordedEnd: at(7)};
    expect(describeKnown(row).required?.source).toEqual('row');
    const compared = {completeEnd: at(7), demotedEnd: at(9)};
    expect(describeKnown(compared).required?.source).toEqual('comparison');
    const vouched = {vouchedEnd: at(7)};
    expect(describeKnown(vouched).required?.source).toEqual('last primary');
  });

  test('has the newest log end that is known of the primary', () => {
    expect(describeKnown({}).primary).toEqual({
      target: 'a',
      term: 2,
      logEnd: at(9),
    });
  });

  test('has for how long the last primary is still waited for', () => {
    const format = (remainingWait?: number) =>
      formatContext(
        describeKnown(remainingWait === undefined ? {} : {remainingWait}),
      ).split('; ')[2];
    expect(format()).toEqual('last primary: a term 2 awaited');
    expect(format(4300.4)).toEqual('last primary: a term 2 awaited 4300');
    expect(format(0)).toEqual('last primary: a term 2 not awaited');
  });

  test('names the proxies by whose evidence copies may be lacking', () => {
    const context = describeKnown({
      evidence: [
        {mayLackCopies: true, newestCommit: {term: 2, after: at(4)}},
        {proxy: 'p2', mayLackCopies: false},
        {proxy: 'p3', mayLackCopies: true},
        {
          proxy: 'p3',
          mayLackCopies: true,
          newestCommit: {term: 2, after: at(5)},
        },
      ],
    });
    expect(context.lackingCopies).toEqual(['self', 'p3']);
    expect(context.proxyCount).toEqual(3);
    expect(context.newestCommit).toEqual({term: 2, after: at(5)});
  });

  test('has targets that left, and since when they were missing', () => {
    const departed = {target: 'd', reason: 'gone', logEnd: at(3)} as const;
    const context = describeKnown({
      departed: [
        {
          ...departed,
          startedAt: 1,
          hasEnded: false,
          removedAt: 900,
          missingSince: 200,
        },
      ],
    });
    expect(context.departed).toEqual([
      {...departed, age: 100, missingFor: 800},
    ]);
  });

  test('has since when the registrations of considered targets are missing', () => {
    const group = {
      missingSince: (target: string) => (target === 'c' ? 400 : undefined),
    } as unknown as TargetGroup;
    const targets = [considered('b', 6), considered('c', 7)];
    const times = withMissingTime(targets, group, NOW).map(
      ({missingFor}) => missingFor,
    );
    expect(times).toEqual([undefined, 600]);
  });
});
