/** Runs a statement simulation with faults at times drawn from a seed. */
import {type Milliseconds, createRandom} from '@kelpstep/runtime';

import {
  STATEMENT_FAULTS,
  type StatementFault,
  startFault,
} from './random_faults';
import {
  type StatementSimulation,
  createStatementSimulation,
} from './statement_simulation';

/** Seed and faults of a run. */
export interface FaultSimulation {
  readonly seed: number;
  readonly faults: readonly StatementFault[];
  readonly sessions?: number;
}

const DURATION_MS: Milliseconds = 14_000;
const MEAN_FAULT_TIME_MS: Milliseconds = 3000;
/** Makes the draw of pairs independent of the simulation's seeds. */
const PAIR_SEED_OFFSET = 1_000_000;

/** Draws two faults from a seed. */
export function drawFaultPair(seed: number): StatementFault[] {
  const random = createRandom(seed + PAIR_SEED_OFFSET);
  return [random.pick(STATEMENT_FAULTS), random.pick(STATEMENT_FAULTS)];
}

/** Runs a simulation to its end and returns it in its final state. */
export function simulateFaults(run: FaultSimulation): StatementSimulation {
  const {faults, ...options} = run;
  const simulation = createStatementSimulation({
    ...options,
    duration: DURATION_MS,
  });
  const random = createRandom(run.seed);
  for (const fault of faults) {
    const faultTime = MEAN_FAULT_TIME_MS * (0.5 + random.fraction());
    simulation.timer.after(faultTime, () =>
      startFault(simulation, fault, random),
    );
  }
  simulation.finish();
  return simulation;
}
