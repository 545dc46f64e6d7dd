/** The end of a change in the succession search. */
import {at} from './succession_model_choice';
import {replaced} from './succession_model_promoter';
import {NO_COMPLETE_LOG, TARGETS} from './succession_model_state';
import {
  ENDED_PROMOTER,
  type SearchGuards,
  type SearchState,
} from './succession_search_state';
import {
  type SearchStep,
  withPromoter,
  writeRow,
} from './succession_search_writes';

/** The end of a change is written; the targets are resumed afterwards. */
export function* endSteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
  phase: 'done' | 'abandoned',
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  const {epoch, target} = promoter;
  const isOpen =
    phase === 'done' &&
    state.row.isContested &&
    state.orders.some(order => order.isExecuted);
  if (guards.withholdsWhileContested && isOpen) {
    return;
  }
  const next = writeRow(state, guards, index, {
    epoch,
    phase,
    target,
    isContested: phase === 'abandoned' && state.row.isContested,
    complete: NO_COMPLETE_LOG,
  });
  if (next !== undefined) {
    const isFenced = guards.fencesOrders && phase === 'done';
    const fence = isFenced ? Math.max(state.fence, epoch + 1) : state.fence;
    yield {
      name: `promoter ${index} ends: ${phase}`,
      state: withPromoter({...next, fence}, index, {
        ...ENDED_PROMOTER,
        step: 'resuming',
        holdsRow: true,
      }),
    };
  }
}

/** A change is abandoned, for any reason. */
export function* abandonSteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
): Generator<SearchStep> {
  if (at(state.promoters, index).step === 'stopping') {
    yield* endSteps(state, guards, index, 'abandoned');
  }
}

/** A promoter that has ended its change resumes the paused targets. */
export function* resumeSteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  const isInTime = promoter.holdsRow;
  if (promoter.step !== 'resuming' || (guards.resumesInTime && !isInTime)) {
    return;
  }
  for (const stopped of TARGETS) {
    const target = at(state.targets, stopped);
    if (target.pausedAt > target.term) {
      const targets = replaced(state.targets, stopped, {
        ...target,
        pausedAt: 0,
      });
      const name = `promoter ${index} resumes ${stopped}`;
      yield {name, state: {...state, targets}};
    }
  }
}
