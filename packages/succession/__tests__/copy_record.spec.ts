import {
  type VirtualTimer,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import type {StorePosition, TableRows} from '@kelpstep/platform';
import type {CopyState, TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok} from 'ts-results';

import {
  type CopyRecord,
  type KnownCopyRecord,
  createCopyRecords,
  mayLackCopies,
} from '../src/copy_record';
import {startCopyRecorder} from '../src/copy_recorder';

const TERM = 2;
const STARTED: Record<string, number> = {a: 10, b: 20, c: 30};
const RECORD: CopyRecord = {
  primary: 'a',
  term: TERM,
  replicas: [
    {target: 'b', startedAt: 20},
    {target: 'c', startedAt: 30},
  ],
};
const POSITION: StorePosition = {era: 0, version: 1};
const UNOBSERVED: CopyState = {lackingSince: -Infinity, term: undefined};
const OBSERVED: CopyState = {lackingSince: undefined, term: TERM};

/** A group with targets of these start times, of which `a` leads. */
function createGroup(
  startTimes: Record<string, number>,
  copies: CopyState,
): TargetGroup {
  const links = Object.entries(startTimes).map(
    ([target, startedAt]) =>
      ({
        target,
        registration: () => ({startedAt}),
        isReached: () => true,
        probeStatus: () => settledFuture(undefined),
      }) as unknown as TargetLink,
  );
  return {
    group: 'g',
    links: () => links,
    link: (name: string) => links.find(({target}) => target === name),
    leader: () => links[0],
    hasSynchronousReplicas: () => true,
    positions: {
      copies: () => copies,
      leader: () => ({target: 'a', term: TERM}),
    },
  } as unknown as TargetGroup;
}

function known(record: CopyRecord, observedAt = 0): KnownCopyRecord {
  return {record, position: POSITION, observedAt};
}

describe('commits of a group', () => {
  test('have a copy if this proxy has compared the logs in the same term', () => {
    const group = createGroup(STARTED, OBSERVED);
    expect(mayLackCopies(group, undefined, TERM)).toEqual(false);
    expect(mayLackCopies(group, undefined, TERM + 1)).toEqual(true);
  });

  test('have a copy for a proxy that has just started if the record says so', () => {
    const group = createGroup(STARTED, UNOBSERVED);
    expect(mayLackCopies(group, undefined, TERM)).toEqual(true);
    expect(mayLackCopies(group, known(RECORD), TERM)).toEqual(false);
    expect(mayLackCopies(group, known(RECORD), TERM + 1)).toEqual(true);
  });

  test('may have none if a recorded replica has left or started anew', () => {
    const left = createGroup({a: 10, c: 30}, UNOBSERVED);
    expect(mayLackCopies(left, known(RECORD), TERM)).toEqual(true);
    const restarted = createGroup({...STARTED, b: 25}, UNOBSERVED);
    expect(mayLackCopies(restarted, known(RECORD), TERM)).toEqual(true);
  });

  test('may have none if a replica was lost after the record was read', () => {
    const group = createGroup(STARTED, {lackingSince: 100, term: TERM});
    expect(mayLackCopies(group, known(RECORD, 90), TERM)).toEqual(true);
    expect(mayLackCopies(group, known(RECORD, 110), TERM)).toEqual(false);
  });
});

interface Recording {
  readonly timer: VirtualTimer;
  readonly written: CopyRecord[];
  stop(): void;
}

/** Records a group against a store whose rows arrive at once. */
function startRecording(group: TargetGroup, stored?: CopyRecord): Recording {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const records = createCopyRecords(timer);
  const written: CopyRecord[] = [];
  let version = 0;
  function store(value: unknown): void {
    version += 1;
    const key = 'copies/g';
    const row = {key, value, version, isRemoved: false};
    const rows: TableRows = new Map([[key, row]]);
    records.update(rows, {era: 0, version});
  }
  if (stored !== undefined) {
    store(stored);
  }
  const {stop} = startCopyRecorder({
    runtime,
    group,
    table: 'successions',
    record: () => records.get('g'),
    emptyPosition: () => ({era: 0, version: 0}),
    rowWriter: {
      replaceRow(table, key, expected, value) {
        written.push(value as CopyRecord);
        store(value);
        return settledFuture(Ok({era: 0, version}));
      },
    },
  });
  return {timer, written, stop};
}

describe('the record of copies', () => {
  test('is written once the logs were compared, and not again', () => {
    const {timer, written, stop} = startRecording(
      createGroup(STARTED, OBSERVED),
    );
    timer.advance(5000);
    stop();
    expect(written).toEqual([RECORD]);
  });

  test('is not written while copies may be lacking', () => {
    const {timer, written, stop} = startRecording(
      createGroup(STARTED, {lackingSince: 0, term: TERM}),
    );
    timer.advance(5000);
    stop();
    expect(written).toEqual([]);
  });

  test('is not replaced by that of an earlier term', () => {
    const {timer, written, stop} = startRecording(
      createGroup({...STARTED, d: 40}, OBSERVED),
      {...RECORD, term: TERM + 1},
    );
    timer.advance(5000);
    stop();
    expect(written).toEqual([]);
  });
});
