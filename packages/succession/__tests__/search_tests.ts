/** Declares tests of the succession search. */
import {expect} from 'earl';
import {test} from 'node:test';

import type {LogLoss} from './succession_model_state';
import {searchSuccession} from './succession_search';
import {
  ALL_GUARDS,
  type FaultMix,
  type SearchGuards,
} from './succession_search_state';

function guardsWithout(
  disabled: ReadonlyArray<keyof SearchGuards>,
): SearchGuards {
  const changes = Object.fromEntries(disabled.map(guard => [guard, false]));
  return {...ALL_GUARDS, ...changes};
}

/** Searches for a lost commit and for a state without service. */
function searchService(name: string, mix: FaultMix, guards: SearchGuards) {
  const result = searchSuccession(guards, mix, 'unlessOrdered', 'service');
  process.stdout.write(
    `# succession search, ${name}: ${result.states} states\n`,
  );
  return result;
}

/**
 * Declares a test that the mix loses no commit with all guards, and that the group
 * can be given a primary whenever a target holds them all.
 */
export function testSafety(name: string, mix: FaultMix): void {
  test(`preserves acknowledged commits, and service, if ${name}`, () => {
    const {states, counterexample} = searchService(name, mix, ALL_GUARDS);
    expect(counterexample).toEqual(undefined);
    expect(states > 1000).toEqual(true);
  });
}

/** Declares a test that the group can't get a primary without these guards. */
export function testServiceLoss(
  name: string,
  mix: FaultMix,
  without: ReadonlyArray<keyof SearchGuards>,
): void {
  test(`has no primary any more ${name}`, () => {
    const guards = guardsWithout(without);
    const {counterexample} = searchService(name, mix, guards);
    expect(counterexample === undefined).toEqual(false);
    expect(searchSuccession(guards, mix).counterexample).toEqual(undefined);
  });
}

/** Declares a test that the mix loses a commit, by a path with this step. */
export function testLoss(
  name: string,
  mix: FaultMix,
  {
    without = [],
    logLoss,
    step = '',
  }: {
    readonly without?: ReadonlyArray<keyof SearchGuards>;
    readonly logLoss?: LogLoss;
    readonly step?: string;
  } = {},
): void {
  test(`loses an acknowledged commit ${name}`, () => {
    const {states, counterexample = []} = searchSuccession(
      guardsWithout(without),
      mix,
      logLoss,
    );
    process.stdout.write(`# succession search, ${name}: ${states} states\n`);
    expect(counterexample.length > 0).toEqual(true);
    expect(counterexample.some(each => each.endsWith(step))).toEqual(true);
  });
}

/** Declares tests that the mix loses a commit only without one of the guards. */
export function testGuards(
  name: string,
  mix: FaultMix,
  guards: ReadonlyArray<keyof SearchGuards>,
): void {
  testSafety(name, mix);
  for (const guard of guards) {
    const reason = `if ${name}, without the guard ${guard}`;
    testLoss(reason, mix, {without: [guard]});
  }
}
