/** Writes of promoters to the state of the succession search. */
import {at} from './succession_model_choice';
import {replaced} from './succession_model_promoter';
import type {
  SearchGuards,
  SearchPromoter,
  SearchRow,
  SearchState,
} from './succession_search_state';

/** A step of the search, and the state after it. */
export interface SearchStep {
  readonly name: string;
  readonly state: SearchState;
}

/** Writes the row for a promoter; undefined if it does not hold it. */
export function writeRow(
  state: SearchState,
  guards: SearchGuards,
  index: number,
  row: SearchRow,
): SearchState | undefined {
  if (guards.comparesVersions && !at(state.promoters, index).holdsRow) {
    return undefined;
  }
  const promoters = state.promoters.map((promoter, other) =>
    promoter.holdsRow === (other === index)
      ? promoter
      : {...promoter, holdsRow: other === index},
  );
  return {...state, row, promoters};
}

export function withPromoter(
  state: SearchState,
  index: number,
  change: Partial<SearchPromoter>,
): SearchState {
  const promoter = {...at(state.promoters, index), ...change};
  return {...state, promoters: replaced(state.promoters, index, promoter)};
}
