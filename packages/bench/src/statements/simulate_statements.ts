/** Simulates statement sessions under faults for the bench's result table. */
import {
  type StatementFault,
  drawFaultPair,
  simulateFaults,
} from '@kelpstep/scenarios';

import type {Row} from '../report';

/** One simulation; `pairs` draws two faults from the seed. */
export interface StatementSimulation {
  readonly fault: StatementFault | 'pairs';
  readonly seed: number;
  readonly sessions: number;
}

/**
 * Runs a simulation and returns its result row. `served` is a ratio;
 * `broken` is the first rule violation, empty if there was none.
 */
export function simulateStatements(simulation: StatementSimulation): Row {
  const {fault, seed, sessions} = simulation;
  const faults = fault === 'pairs' ? drawFaultPair(seed) : [fault];
  const {counts, checker} = simulateFaults({seed, sessions, faults});
  const [firstFinding] = checker.broken();
  return {
    seed,
    faults: faults.join(' + '),
    operations: counts.started,
    served: counts.served / counts.started,
    commits: checker.acknowledgedCount(),
    broken:
      firstFinding === undefined
        ? ''
        : `${firstFinding.rule}: ${firstFinding.detail}`,
  };
}
