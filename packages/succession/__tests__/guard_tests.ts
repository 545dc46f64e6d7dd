/** Checks that guards of the succession model are needed. */
import {expect} from 'earl';
import {test} from 'node:test';

import {searchSuccession} from './succession_model';
import {ALL_GUARDS, type Guards} from './succession_model_state';

/** Declares a test for each guard; the searches take up to a minute each. */
export function testGuards(names: ReadonlyArray<keyof Guards>): void {
  for (const guard of names) {
    test(`loses an acknowledged commit without the guard ${guard}`, () => {
      const guards = {...ALL_GUARDS, [guard]: false};
      const {counterexample} = searchSuccession(guards);
      expect(counterexample === undefined).toEqual(false);
    });
  }
}
