import {expect} from 'earl';
import {describe, test} from 'node:test';

import {searchSuccession} from './succession_model';
import {faults, faultsWithJoin} from './succession_model_mixes';
import {ALL_GUARDS, type FaultMix} from './succession_model_state';

function testLoss(name: string, mix: FaultMix): void {
  test(name, () => {
    const {counterexample} = searchSuccession(ALL_GUARDS, mix);
    expect(counterexample === undefined).toEqual(false);
  });
}

function testSafety(name: string, mix: FaultMix): void {
  test(name, () => {
    const {states, counterexample} = searchSuccession(ALL_GUARDS, mix);
    process.stdout.write(`# succession model, ${name}: ${states} states\n`);
    expect(counterexample).toEqual(undefined);
    expect(states > 1000).toEqual(true);
  });
}

describe('the succession model preserves acknowledged commits', () => {
  testSafety(
    'if a target joins and the proxy with the newest commit restarts',
    faultsWithJoin(['proxyRestarts', 'primaryCrashes'], 3),
  );
  testSafety(
    'if a target joins and the primary crashes',
    faultsWithJoin(['primaryCrashes'], 2, {commits: 2, choices: 2}),
  );
  testSafety(
    'if registrations of ordered targets lapse',
    faults(['registrationLapses'], 2, {choices: 2}),
  );
  testSafety(
    'if the primary is cut off and replicas restart',
    faults(['primaryIsCut', 'replicaRestarts'], 2, {orders: 2, choices: 2}),
  );
});

// What the promise does not cover.
describe('the succession model loses an acknowledged commit', () => {
  testLoss(
    'if a replica restarts while proxies that do not know the row reach the primary',
    faults(['primaryIsCut', 'replicaRestarts', 'rowIsUnknown'], 3),
  );
  testLoss(
    'if an order is repeated and proxies do not know the row of the next change',
    faults(['primaryIsCut', 'rowIsUnknown'], 2, {orders: 2}),
  );
});
