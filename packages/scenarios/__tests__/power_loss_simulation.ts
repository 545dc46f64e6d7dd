/** All proxies lose power and start anew while targets hold their connections. */
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type StatementSimulation,
  type StatementSimulationOptions,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

/** How long targets hold the connections from before the loss. */
const LINGER_TIME: Milliseconds = 3000;

/** Times of the play. */
export interface LossOfPowerTimes {
  /** Callers run for so long before the loss. */
  readonly warmUp: Milliseconds;
  readonly downTime: Milliseconds;
  /** Callers find the proxies again, and these their primaries. */
  readonly startTime: Milliseconds;
}

/** A world at the time when targets let the dead proxies' connections go. */
export interface LossOfPowerPlay {
  readonly world: StatementSimulation;
  /** When proxies had started: what began since is judged. */
  readonly from: Milliseconds;
}

/** Plays a loss of power up to the time when targets hold nothing from before. */
export function playLossOfPower(
  options: StatementSimulationOptions,
  {warmUp, downTime, startTime}: LossOfPowerTimes,
): LossOfPowerPlay {
  const world = createStatementSimulation(options);
  const {timer, proxies} = world;
  timer.advance(warmUp);
  proxies.forEach(world.cutPower);
  timer.advance(downTime);
  proxies.forEach(world.startProxy);
  timer.advance(startTime);
  const from = timer.now();
  timer.advance(warmUp + LINGER_TIME - from);
  return {world, from};
}
