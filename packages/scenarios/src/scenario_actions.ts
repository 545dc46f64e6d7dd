/** Executes the actions of a scenario on a cluster. */
import type {Cluster} from './cluster';
import type {ClusterMonitor} from './cluster_monitor';
import type {ActionName, ScenarioAction} from './scenario_language';
import type {FleetTarget} from './target_fleet';

/** Executes actions and keeps the state that later actions refer to. */
export interface ActionRunner {
  run(action: ScenarioAction): void;
  /** Ends network and platform faults, message delays and process freezes. */
  recover(): void;
}

/** Is notified of executed actions. */
type ActionListener = Pick<ClusterMonitor, 'noteAction' | 'noteLeaving'>;

const NO_LISTENER: ActionListener = {noteAction() {}, noteLeaving() {}};

type ActionHandler = (name: string, amount: number) => void;

const DELAYED_ANSWER_INTERVAL = 2;

/** Creates an action runner for a cluster. */
export function createActionRunner(
  cluster: Cluster,
  monitor: ActionListener = NO_LISTENER,
): ActionRunner {
  const {network, targets, proxies, platform, deployment} = cluster;
  const frozen = new Map<string, FleetTarget>();
  const delays = new Map<string, () => void>();
  const leaving = new Set<string>();

  function target(name: string): FleetTarget {
    const foundTarget = targets.find(name);
    if (foundTarget === undefined) {
      throw new Error(`no target ${name}`);
    }
    return foundTarget;
  }

  function allHosts(): string[] {
    return deployment.dataCentres.flatMap((unusedName, index) =>
      cluster.hostsOf(index),
    );
  }

  function isolate(host: string): void {
    const others = allHosts().filter(other => other !== host);
    network.partitionGroups([host], others);
  }

  function isolateFromGroup({host, dataCentre}: FleetTarget): void {
    const local = cluster.hostsOf(dataCentre);
    network.partitionGroups(
      [host],
      allHosts().filter(other => !local.includes(other)),
    );
    const members = targets.targets.map(other => other.host);
    network.partitionGroups(
      [host],
      members.filter(other => other !== host),
    );
  }

  function cutDataCentre(name: string): void {
    const index = deployment.dataCentres.indexOf(name);
    const inside = cluster.hostsOf(index);
    const outside = allHosts().filter(host => !inside.includes(host));
    network.partitionGroups(inside, outside);
  }

  function silence(name: string): void {
    const host = proxies.hostOf(name);
    for (const {host: other} of targets.targets) {
      network.blackholeConnections(host, other);
    }
  }

  function delayAnswers(name: string, duration: number): void {
    delays.get(name)?.();
    const {host} = target(name);
    let count = 0;
    // Every second answer is delayed, so that answers arrive out of order.
    const cancel = network.delayMessages(
      ({from, isAnswer}) =>
        from === host && isAnswer && count++ % DELAYED_ANSWER_INTERVAL === 0,
      duration,
    );
    delays.set(name, cancel);
  }

  /** Remembers the target, so that thawing by the same name finds it again. */
  function freezeTarget(name: string): void {
    const foundTarget = target(name);
    frozen.set(name, foundTarget);
    network.freezeHost(foundTarget.host);
  }

  function thawTarget(name: string): void {
    const foundTarget = frozen.get(name) ?? target(name);
    frozen.delete(name);
    network.thawHost(foundTarget.host);
  }

  function listLeaving(name: string): void {
    const {id, address, dataCentre} = target(name);
    monitor.noteLeaving(id);
    platform.list({
      id,
      role: 'target',
      address,
      dataCentre: deployment.dataCentres[dataCentre] ?? '',
      state: 'leaving',
    });
  }

  function commitLeaving(name: string): void {
    leaving.add(target(name).id);
    cluster.commitManifest(leaving);
  }

  const handlers: Readonly<Record<ActionName, ActionHandler>> = {
    'kill-target': name => targets.kill(target(name)),
    'freeze-target': freezeTarget,
    'thaw-target': thawTarget,
    'isolate-target': name => isolate(target(name).host),
    'isolate-from-group': name => isolateFromGroup(target(name)),
    'lag-target': (name, lag) => target(name).database.control.configure({lag}),
    'lose-target-answers': (name, count) => {
      const {host} = target(name);
      network.loseAnswers(message => message.from === host, count);
    },
    'delay-target-answers': delayAnswers,
    'kill-proxy': name => proxies.kill(name),
    'freeze-proxy': name => proxies.freeze(name),
    'thaw-proxy': name => proxies.thaw(name),
    'stop-proxy': name => proxies.stop(name),
    'start-proxy': name => proxies.start(name),
    'silence-proxy': silence,
    'cut-data-centre': cutDataCentre,
    'cut-data-centre-from-platform': name =>
      platform.partitionDataCentre(deployment.dataCentres.indexOf(name)),
    'heal-network': () => {
      network.healAll();
      platform.healAll();
    },
    'platform-down': () => platform.platform.configure({outage: 'silent'}),
    'platform-up': () =>
      platform.platform.configure({outage: 'none', slowness: 0}),
    'platform-slow': slowness =>
      platform.platform.configure({slowness: Number(slowness)}),
    'platform-loses-answers': count =>
      platform.platform.configure({loseAnswers: {count: Number(count)}}),
    'manifest-leaving': commitLeaving,
    'list-leaving': listLeaving,
    'commit-race': operators =>
      cluster.commitManifest(leaving, Number(operators)),
  };

  return {
    run({name, arguments: [first = '', second = 0]}) {
      monitor.noteAction();
      handlers[name](String(first), Number(second));
    },
    recover() {
      monitor.noteAction();
      handlers['heal-network']('', 0);
      handlers['platform-up']('', 0);
      for (const cancel of delays.values()) {
        cancel();
      }
      for (const {host} of targets.targets) {
        network.thawHost(host);
      }
      proxies.thawAll();
    },
  };
}
