/** Simulates faults while a promotion is ordered and not yet in effect. */
import {type Milliseconds, createRandom} from '@kelpstep/runtime';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION_MS: Milliseconds = 16_000;
const WARM_UP_MS: Milliseconds = 3000;
const PROMOTION_TIME_MS: Milliseconds = 1000;
/** Time within which a proxy has paused the replicas. */
const PAUSE_DEADLINE_MS: Milliseconds = 2500;
/** Faults begin within this time after the replicas were paused. */
const FAULT_WINDOW_MS: Milliseconds = 1500;
/** Time for which orders stay unanswered. */
const LATE_ORDERS_MS: Milliseconds = 2500;
const LONGEST_FAULT_MS: Milliseconds = 3000;
const SHORTEST_FAULT_MS: Milliseconds = 300;
const PRIMARY = 'target-1';
const REPLICAS = ['target-2', 'target-3'];

/** Faults that may undo what a choice of a successor relied on. */
export const PENDING_PROMOTION_FAULTS = [
  'target joins',
  'replica restarts',
  'replica returns empty',
  'replicas unreachable',
  'connections refused',
  'primary heals',
  'holder killed',
  'all proxies killed',
  'store silent',
  'proxies cut from the store',
  'primary leaves',
] as const;
export type PendingPromotionFault = (typeof PENDING_PROMOTION_FAULTS)[number];

/**
 * Cuts the primary from its replicas, so that it is replaced while proxies
 * still reach it. All orders are late for a while; the faults begin once the
 * replicas were paused.
 */
export function simulatePendingPromotion(
  seed: number,
  faults: readonly PendingPromotionFault[],
): StatementSimulation {
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION_MS,
    promotionTime: PROMOTION_TIME_MS,
    arePromotionsFenced: seed % 2 === 0,
  });
  const {timer, group, network} = simulation;
  const random = createRandom(seed);
  timer.advance(WARM_UP_MS);
  simulation.latePromotionShare = 1;
  REPLICAS.forEach(target => network.partition(PRIMARY, target));
  timer.runUntil(
    () => REPLICAS.every(name => group.target(name).isPaused()),
    PAUSE_DEADLINE_MS,
  );
  timer.after(LATE_ORDERS_MS, () => {
    simulation.latePromotionShare = 0;
  });
  timer.after(LONGEST_FAULT_MS, () => network.healAll());
  for (const fault of faults) {
    timer.after(FAULT_WINDOW_MS * random.fraction(), () => {
      const duration =
        SHORTEST_FAULT_MS +
        (LONGEST_FAULT_MS - SHORTEST_FAULT_MS) * random.fraction();
      startFault(simulation, fault, duration, random.pick(REPLICAS));
    });
  }
  simulation.finish();
  return simulation;
}

function startFault(
  simulation: StatementSimulation,
  fault: PendingPromotionFault,
  duration: Milliseconds,
  replica: string,
): void {
  const {timer, group, network, store, proxies} = simulation;
  const endpoints = proxies.map(simulation.endpointOf);

  function killForAWhile(proxy: string): void {
    if (simulation.gateway(proxy) !== undefined) {
      simulation.killProxy(proxy);
      timer.after(duration, () => simulation.startProxy(proxy));
    }
  }

  function killHolder(): void {
    const rows = simulation.store.clientOf('test').readTable('successions');
    rows.onSettled(result => {
      const values = result.ok
        ? result.val.rows.map(({value}) => JSON.stringify(value)).join()
        : '';
      proxies.filter(name => values.includes(name)).forEach(killForAWhile);
    });
  }

  switch (fault) {
    case 'target joins':
      if (group.targets().length === 3) {
        group.join('target-4', PRIMARY);
      }
      return;
    case 'replica restarts':
    case 'replica returns empty':
      group.crash(replica);
      timer.after(duration / 4, () =>
        group.restart(replica, fault === 'replica returns empty'),
      );
      return;
    case 'replicas unreachable':
      endpoints.forEach(endpoint => network.partition(endpoint, replica));
      timer.after(duration, () =>
        endpoints.forEach(endpoint => network.heal(endpoint, replica)),
      );
      return;
    case 'connections refused':
      group.refuseConnections(replica, true);
      timer.after(duration, () => group.refuseConnections(replica, false));
      return;
    case 'primary heals':
      REPLICAS.forEach(target => network.heal(PRIMARY, target));
      return;
    case 'holder killed':
      killHolder();
      return;
    case 'all proxies killed':
      proxies.forEach(killForAWhile);
      return;
    case 'store silent':
      store.faults.silent = 'all';
      timer.after(duration, () => (store.faults.silent = new Set()));
      return;
    case 'proxies cut from the store':
      store.faults.refused = new Set(proxies.slice(0, 2));
      timer.after(duration, () => (store.faults.refused = new Set()));
      return;
    case 'primary leaves':
      simulation.setLeaving(PRIMARY, true);
      timer.after(duration, () => simulation.setLeaving(PRIMARY, false));
  }
}
