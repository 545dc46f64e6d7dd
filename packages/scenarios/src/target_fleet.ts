/** The databases of a simulated run. */
import {Random, TimerService, createRuntime} from '@kelpstep/runtime';
import {Database, FakeNetwork, createDatabase} from '@kelpstep/stand-ins';
import {compareLogPositions} from '@kelpstep/protocol';

import {
  Deployment,
  groupName,
  memberId,
  targetAddress,
  targetHost,
} from './deployments';

/** A database process of a run. */
export interface FleetTarget {
  readonly id: string;
  readonly group: string;
  readonly dataCentre: number;
  readonly host: string;
  readonly address: string;
  readonly database: Database;
  /** True once it was killed. */
  isDead(): boolean;
}

/** The databases of a run. */
export interface TargetFleet {
  readonly targets: readonly FleetTarget[];
  /** By member id, or by its role in the first group as it is now. */
  find(name: string): FleetTarget | undefined;
  /** The living member of a group with the newest log. */
  newest(group: string): FleetTarget | undefined;
  /** The primary of the highest term among the living. */
  primary(group: string): FleetTarget | undefined;
  /** True if all living members of a group hold the primary's log. */
  isConverged(group: string): boolean;
  kill(target: FleetTarget): void;
}

/** What the databases are made of. */
export interface TargetFleetOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly deployment: Deployment;
  readonly groups: number;
  readonly lag: number;
}

/** Starts the databases: one of each group in each data centre. */
export function startTargetFleet(options: TargetFleetOptions): TargetFleet {
  const {random, network, deployment, groups, lag} = options;
  const targets: FleetTarget[] = [];
  const dead = new Set<string>();

  function start(group: number, dataCentre: number): void {
    const host = targetHost(dataCentre, group);
    const id = memberId(deployment, group, dataCentre);
    const address = targetAddress(dataCentre, group);
    const timer = network.timerFor(host);
    const database = createDatabase({
      runtime: createRuntime({timer, random: random.split()}),
      transport: network.transportFor(host),
      target: id,
      address,
      settings: {
        lag,
        slots: deployment.slots,
        connectionLimit: deployment.connectionLimit,
        connectionSetup: deployment.connectionSetup,
        serviceTime: deployment.serviceTime,
        serviceJitter: 0.2,
      },
    });
    targets.push({
      id,
      group: groupName(deployment, group),
      dataCentre,
      host,
      address,
      database,
      isDead: () => dead.has(id),
    });
  }

  function living(group: string): FleetTarget[] {
    return targets.filter(target => target.group === group && !target.isDead());
  }

  function newest(group: string): FleetTarget | undefined {
    return living(group).sort((left, right) =>
      compareLogPositions(
        right.database.control.status().end,
        left.database.control.status().end,
      ),
    )[0];
  }

  function primary(group: string): FleetTarget | undefined {
    return living(group)
      .filter(({database}) => database.control.status().role === 'primary')
      .sort(
        (left, right) =>
          right.database.control.status().term -
          left.database.control.status().term,
      )[0];
  }

  function isConverged(group: string): boolean {
    const leader = primary(group)?.database.control.status();
    return living(group).every(({database}) => {
      const {end, term} = database.control.status();
      return (
        term === leader?.term && compareLogPositions(end, leader.end) === 0
      );
    });
  }

  function replicas(group: string): FleetTarget[] {
    const leader = primary(group) ?? newest(group);
    return living(group).filter(target => target !== leader);
  }

  function find(name: string): FleetTarget | undefined {
    const first = groupName(deployment, 0);
    switch (name) {
      case 'primary':
        return primary(first) ?? newest(first);
      case 'replica-1':
        return replicas(first)[0];
      case 'replica-2':
        return replicas(first)[1];
      default:
        return targets.find(target => target.id === name);
    }
  }

  for (let group = 0; group < groups; group++) {
    deployment.dataCentres.forEach((unusedName, index) => start(group, index));
  }

  return {
    targets,
    find,
    newest,
    primary,
    isConverged,
    kill(target) {
      dead.add(target.id);
      network.killHost(target.host);
    },
  };
}
