/** Plays a statement world with faults that a seed places. */
import {type Milliseconds, createRandom} from '@kelpstep/runtime';

import {
  STATEMENT_FAULTS,
  type StatementFault,
  startFault,
} from './random_faults';
import {type StatementWorld, createStatementWorld} from './statement_world';

/** What is played. */
export interface FaultPlay {
  readonly seed: number;
  readonly faults: readonly StatementFault[];
  readonly sessions?: number;
}

const DURATION: Milliseconds = 14_000;
const FAULT_AT: Milliseconds = 3000;
/** Keeps the choice of a pair apart from the seeds of worlds. */
const PAIR_SEED = 1_000_000;

/** Two faults that a seed draws. */
export function drawPair(seed: number): StatementFault[] {
  const random = createRandom(seed + PAIR_SEED);
  return [random.pick(STATEMENT_FAULTS), random.pick(STATEMENT_FAULTS)];
}

/** Plays to the end and gives the world as it is then. */
export function playFaults(play: FaultPlay): StatementWorld {
  const {faults, ...options} = play;
  const world = createStatementWorld({...options, duration: DURATION});
  const random = createRandom(play.seed);
  for (const fault of faults) {
    const at = FAULT_AT * (0.5 + random.fraction());
    world.timer.after(at, () => startFault(world, fault, random));
  }
  world.finish();
  return world;
}
