/** Faults that a policy run can inject, by name. */
import type {Milliseconds} from '@kelpstep/runtime';
import {ActionRunner, Cluster} from '@kelpstep/scenarios';

/** Injects a fault into a running cluster. */
type Fault = (cluster: Cluster, actions: ActionRunner) => void;

/** Factor on the service time of a slow replica. */
const SLOWDOWN_FACTOR = 10;
/** Time between the stops of two successive proxies. */
const REPLACEMENT_INTERVAL_MS: Milliseconds = 1400;
/** Time between the stop of a proxy and its restart. */
const RESTART_DELAY_MS: Milliseconds = 1400;

function createActionFault(
  name: Parameters<ActionRunner['run']>[0]['name'],
  argument = '',
) {
  return (unusedCluster: Cluster, actions: ActionRunner) =>
    actions.run({at: 0, name, arguments: [argument], line: 0});
}

function slowReplica({targets, deployment}: Cluster): void {
  const serviceTime = deployment.serviceTime * SLOWDOWN_FACTOR;
  targets.find('replica-1')?.database.control.configure({serviceTime});
}

/** Stops each proxy gracefully and restarts it, one after another. */
function replaceProxies({timer, proxies}: Cluster): void {
  proxies.running().forEach(({name}, index) => {
    const stopsAt = index * REPLACEMENT_INTERVAL_MS;
    timer.after(stopsAt, () => proxies.stop(name));
    timer.after(stopsAt + RESTART_DELAY_MS, () => proxies.start(name));
  });
}

/**
 * Functions that inject a fault, by the name that `RunSettings.fault` holds.
 */
export const NAMED_FAULTS = {
  none: () => {},
  'kill-primary': createActionFault('kill-target', 'primary'),
  'freeze-primary': createActionFault('freeze-target', 'primary'),
  'isolate-primary': createActionFault('isolate-target', 'primary'),
  'silence-proxy': createActionFault('silence-proxy', 'proxy-1'),
  'kill-proxy': createActionFault('kill-proxy', 'proxy-1'),
  'slow-replica': slowReplica,
  'platform-outage': createActionFault('platform-down'),
  'rolling-replacement': replaceProxies,
  'cut-data-centre': (cluster, actions) =>
    createActionFault('cut-data-centre', cluster.deployment.dataCentres[0])(
      cluster,
      actions,
    ),
} as const satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof NAMED_FAULTS;

export const FAULT_NAMES = Object.keys(NAMED_FAULTS) as FaultName[];
