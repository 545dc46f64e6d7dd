/** Faults that runs inject, by name. */
import type {Milliseconds} from '@kelpstep/runtime';
import {ActionRunner, Cluster} from '@kelpstep/scenarios';

/** Brings a fault about in a cluster that runs. */
type Fault = (cluster: Cluster, actions: ActionRunner) => void;

/** How much slower a slow replica is. */
const SLOWNESS = 10;
/** Between the replacements of two proxies. */
const REPLACEMENT_PERIOD: Milliseconds = 1400;
/** From a proxy's stop to its successor's start. */
const REPLACEMENT_TIME: Milliseconds = 1400;

function act(name: Parameters<ActionRunner['run']>[0]['name'], target = '') {
  return (unusedCluster: Cluster, actions: ActionRunner) =>
    actions.run({at: 0, name, arguments: [target], line: 0});
}

function slowReplica({targets, deployment}: Cluster): void {
  const serviceTime = deployment.serviceTime * SLOWNESS;
  targets.find('replica-1')?.database.control.configure({serviceTime});
}

/** One proxy after the other stops gracefully and is started anew. */
function replaceProxies({timer, proxies}: Cluster): void {
  proxies.running().forEach(({name}, index) => {
    const stopsAt = index * REPLACEMENT_PERIOD;
    timer.after(stopsAt, () => proxies.stop(name));
    timer.after(stopsAt + REPLACEMENT_TIME, () => proxies.start(name));
  });
}

/** Faults by name. */
export const NAMED_FAULTS = {
  none: () => {},
  'kill-primary': act('kill-target', 'primary'),
  'freeze-primary': act('freeze-target', 'primary'),
  'isolate-primary': act('isolate-target', 'primary'),
  'silence-proxy': act('silence-proxy', 'proxy-1'),
  'kill-proxy': act('kill-proxy', 'proxy-1'),
  'slow-replica': slowReplica,
  'platform-outage': act('platform-down'),
  'rolling-replacement': replaceProxies,
  'cut-data-centre': (cluster, actions) =>
    act('cut-data-centre', cluster.deployment.dataCentres[0])(cluster, actions),
} as const satisfies Readonly<Record<string, Fault>>;

/** Name of a fault. */
export type FaultName = keyof typeof NAMED_FAULTS;

/** Names of all faults. */
export const FAULT_NAMES = Object.keys(NAMED_FAULTS) as FaultName[];
