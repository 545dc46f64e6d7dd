import {createRandom} from '@kelpstep/runtime';
import type {StandInTargetFaults} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type EndedRead,
  type ReadLoadOptions,
  createReadLoad,
} from '../src/statements/read_load';

const SEEDS = [1, 2, 3];
const TARGETS = ['target-1', 'target-2', 'target-3'];
const REPLICA = 'target-3';
const WARM_UP_MS = 5000;
const FAULT_TIME_MS = 7000;
const DETECTION_TIME_MS = 500;
const RETURN_TIME_MS = 3000;
const MEASUREMENT_TIME_MS = 2000;
const LONGEST_READ_MS = 250;
const MAXIMUM_AFFECTED = 0.02;
/** Half of an equal share among three targets. */
const MINIMUM_SHARE = 1 / 6;
/** Slots of a target, and the control connection. */
const CONNECTIONS_OF_ONE_OWNER = 9;

type Fault = (seed: number) => Partial<StandInTargetFaults>;

function half(outcome: 'unanswered' | 'failed'): Fault {
  return seed => {
    const random = createRandom(seed);
    return {
      readOutcome: () => (random.fraction() < 0.5 ? outcome : 'answered'),
    };
  };
}

const FAULTS: Record<string, Fault> = {
  'leaves all statements unanswered': () => ({
    readOutcome: () => 'unanswered',
  }),
  'leaves half of its statements unanswered': half('unanswered'),
  'fails half of its statements': half('failed'),
  'is seven times slower': () => ({slowness: 7}),
};

function shareOf(
  reads: readonly EndedRead[],
  matches: (read: EndedRead) => boolean,
): number {
  return reads.filter(matches).length / reads.length;
}

/** Replays the load while the given targets have a fault for 7 s. */
function replay(
  load: Pick<ReadLoadOptions, 'seed' | 'outlierDetection' | 'owners'>,
  targets: readonly string[],
  fault: Fault,
) {
  const run = createReadLoad({...load, rate: 350, statementDuration: 36});
  const {timer, reads, events} = run;
  timer.advance(WARM_UP_MS);
  const faults = targets.map(name => run.target(name).faults);
  const before = faults.map(each => ({...each}));
  faults.forEach(each => Object.assign(each, fault(load.seed)));
  timer.advance(FAULT_TIME_MS);
  faults.forEach((each, index) => Object.assign(each, before[index]));
  const recoveredAt = timer.now();
  timer.advance(RETURN_TIME_MS + MEASUREMENT_TIME_MS);
  const during = reads.filter(
    ({at}) => at >= WARM_UP_MS + DETECTION_TIME_MS && at < recoveredAt,
  );
  const returned = reads.filter(({at}) => at >= recoveredAt + RETURN_TIME_MS);
  const affected = shareOf(
    during,
    ({isServed, duration}) => !isServed || duration > LONGEST_READ_MS,
  );
  const repeated = shareOf(during, ({attempts}) => attempts > 1);
  const share = shareOf(returned, ({target}) => target === REPLICA);
  return {
    isUnaffected: affected <= MAXIMUM_AFFECTED && repeated <= MAXIMUM_AFFECTED,
    hasReturned: share >= MINIMUM_SHARE,
    connections: Math.max(...TARGETS.map(run.mostConnections)),
    ejections: events.filter(({kind}) => kind === 'ejected').length,
  };
}

describe('reads, while one of three targets', () => {
  for (const [name, fault] of Object.entries(FAULTS)) {
    // Guards against reads that wait for the target or fail there, against
    // connections opened beyond the limits of the others, and against a target
    // that gets no reads after its recovery.
    test(`${name}, are served by the others`, () => {
      for (const seed of SEEDS) {
        const load = {seed, owners: 1};
        const on = replay({...load, outlierDetection: true}, [REPLICA], fault);
        expect({
          ...on,
          connections: on.connections <= CONNECTIONS_OF_ONE_OWNER,
          ejections: on.ejections > 0,
        }).toEqual({
          isUnaffected: true,
          hasReturned: true,
          connections: true,
          ejections: true,
        });
        const off = replay(
          {...load, outlierDetection: false},
          [REPLICA],
          fault,
        );
        expect(off.isUnaffected && off.hasReturned).toEqual(false);
      }
    });
  }

  // Guards against owners with few reads, each of which has to detect it.
  test('leaves statements unanswered, are served by four owners', () => {
    for (const seed of SEEDS) {
      const load = {seed, owners: 4, outlierDetection: true};
      const {isUnaffected, hasReturned} = replay(load, [REPLICA], () => ({
        readOutcome: () => 'unanswered',
      }));
      expect({seed, isUnaffected, hasReturned}).toEqual({
        seed,
        isUnaffected: true,
        hasReturned: true,
      });
    }
  });
});

describe('reads through a proxy to which all targets look slow', () => {
  // Guards against ejections that only reduce the capacity.
  test('eject no target', () => {
    for (const fault of Object.values(FAULTS)) {
      for (const seed of SEEDS) {
        const load = {seed, owners: 1, outlierDetection: true};
        expect(replay(load, TARGETS, fault).ejections).toEqual(0);
      }
    }
  });
});
