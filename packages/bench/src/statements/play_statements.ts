/** Plays one seed of statement sessions under faults, for a table. */
import {type StatementFault, drawPair, playFaults} from '@kelpstep/scenarios';

import type {Row} from '../report';

/** What is played. */
export interface StatementPlay {
  readonly fault: StatementFault | 'pairs';
  readonly seed: number;
  readonly sessions: number;
}

/** Plays it and gives a row of figures; `broken` names the first finding. */
export function playStatements(play: StatementPlay): Row {
  const {fault, seed, sessions} = play;
  const faults = fault === 'pairs' ? drawPair(seed) : [fault];
  const {counts, checker} = playFaults({seed, sessions, faults});
  const [first] = checker.broken();
  return {
    seed,
    faults: faults.join(' + '),
    operations: counts.started,
    served: counts.served / counts.started,
    commits: checker.acknowledged(),
    broken: first === undefined ? '' : `${first.rule}: ${first.detail}`,
  };
}
