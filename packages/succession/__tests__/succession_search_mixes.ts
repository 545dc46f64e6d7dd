/** Combinations of faults, each small enough for a search of all its states. */
import type {FaultKind, FaultMix} from './succession_search_state';

type Bounds = Pick<FaultMix, 'commits' | 'orders' | 'choices'>;

const SINGLE: Bounds = {commits: 1, orders: 1, choices: 1};

/** All three targets are there at the start. */
export function faults(
  kinds: readonly FaultKind[],
  maximum: number,
  bounds: Partial<Bounds> = {},
): FaultMix {
  return {kinds, maximum, targets: 3, ...SINGLE, ...bounds};
}

/** One of the three targets joins, if the faults allow it. */
export function faultsWithJoin(
  kinds: readonly FaultKind[],
  maximum: number,
  bounds: Partial<Bounds> = {},
): FaultMix {
  return {
    kinds: ['targetJoins', ...kinds],
    maximum,
    targets: 2,
    ...SINGLE,
    ...bounds,
  };
}
