/** All proxies lose power and restart; targets keep their connections. */
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type StatementSimulation,
  type StatementSimulationOptions,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

/** Time for which targets keep connections from before the loss. */
const LINGER_TIME_MS: Milliseconds = 3000;

/** Durations of the phases. */
export interface PowerLossTimings {
  /** Time for which callers run before the loss. */
  readonly warmUp: Milliseconds;
  readonly downTime: Milliseconds;
  /** Time for callers to reconnect and for proxies to find the primary. */
  readonly startTime: Milliseconds;
}

/** The simulation at the time when targets close the former connections. */
export interface PowerLossResult {
  readonly simulation: StatementSimulation;
  /** Time after the restart from which operations are evaluated. */
  readonly from: Milliseconds;
}

/** Runs a loss of power until targets close the connections from before it. */
export function simulatePowerLoss(
  options: StatementSimulationOptions,
  {warmUp, downTime, startTime}: PowerLossTimings,
): PowerLossResult {
  const simulation = createStatementSimulation(options);
  const {timer, proxies} = simulation;
  timer.advance(warmUp);
  proxies.forEach(simulation.cutPower);
  timer.advance(downTime);
  proxies.forEach(simulation.startProxy);
  timer.advance(startTime);
  const from = timer.now();
  timer.advance(warmUp + LINGER_TIME_MS - from);
  return {simulation, from};
}
