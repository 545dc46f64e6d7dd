/** Checks that guards of the succession model are needed. */
import {expect} from 'earl';
import {test} from 'node:test';

import {searchSuccession} from './succession_model';
import {ALL_GUARDS, type FaultMix, type Guards} from './succession_model_state';

/** Declares a test that the mix loses a commit only without the guard. */
export function testGuard(guard: keyof Guards, mix: FaultMix): void {
  test(`loses an acknowledged commit without the guard ${guard}`, () => {
    const guards = {...ALL_GUARDS, [guard]: false};
    expect(searchSuccession(guards, mix).counterexample === undefined).toEqual(
      false,
    );
    expect(searchSuccession(ALL_GUARDS, mix).counterexample).toEqual(undefined);
  });
}
