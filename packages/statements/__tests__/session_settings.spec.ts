import {expect} from 'earl';
import * as fc from 'fast-check';
import {describe, test} from 'node:test';

import {
  type PreparedShape,
  type SessionSettings,
  applyLocally,
  createSessionSettings,
  recordApplied,
  planDifference,
  sharedStatementName,
} from '../src/session_settings';
import type {TargetRequest} from '../src/target_connection';

const NAMES = ['a', 'b', 'c'] as const;

const shapes = fc.record(
  {
    access: fc.constantFrom('read' as const, 'write' as const),
    shape: fc.constantFrom('s1', 's2', 's 3'),
  },
  {noNullPrototype: true},
);

/** Settings that a session changes before one of its statements. */
const steps = fc.array(
  fc.record({
    session: fc.integer({min: 0, max: 3}),
    sets: fc.array(fc.tuple(fc.constantFrom(...NAMES), fc.string()), {
      maxLength: 3,
    }),
    shape: fc.option(shapes, {nil: undefined}),
  }),
  {maxLength: 40},
);

/** Applies requests to the settings that a target keeps for a connection. */
function applyAtTarget(
  target: SessionSettings,
  requests: readonly TargetRequest[],
): void {
  for (const {body} of requests) {
    if (body.kind === 'reset') {
      target.values.clear();
      target.prepared.clear();
    } else if (body.kind === 'set' || body.kind === 'prepare') {
      applyLocally(target, body);
    }
  }
}

describe('sessions that share a connection', () => {
  test('see only their own values and shapes', () => {
    fc.assert(
      fc.property(steps, operations => {
        const sessions = Array.from({length: 4}, createSessionSettings);
        const applied = createSessionSettings();
        const target = createSessionSettings();
        for (const {session: index, sets, shape} of operations) {
          const session = sessions[index] as SessionSettings;
          for (const [name, value] of sets) {
            applyLocally(session, {kind: 'set', name, value});
          }
          const requests = planDifference({
            applied,
            session,
            shape,
            isInTransaction: false,
          });
          recordApplied(applied, requests);
          applyAtTarget(target, requests);
          expect(target.values).toEqual(session.values);
          if (shape !== undefined) {
            const prepared = target.prepared.get(sharedStatementName(shape));
            expect(prepared).toEqual(shape);
          }
        }
      }),
      {seed: 1, numRuns: 500},
    );
  });

  test('send nothing when the connection matches', () => {
    const session = createSessionSettings();
    const applied = createSessionSettings();
    const set = {kind: 'set', name: 'a', value: '1'} as const;
    applyLocally(session, set);
    applyLocally(applied, set);
    const shape = undefined;
    const options = {applied, session, shape, isInTransaction: false};
    expect(planDifference(options)).toEqual([]);
  });

  test('use different names for different shapes', () => {
    fc.assert(
      fc.property(shapes, shapes, (left: PreparedShape, right) => {
        const isSame =
          left.access === right.access && left.shape === right.shape;
        expect(
          sharedStatementName(left) === sharedStatementName(right),
        ).toEqual(isSame);
      }),
      {seed: 2},
    );
  });
});
