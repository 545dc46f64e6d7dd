/** Starts and kills the target databases of a simulated run. */
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

/** A target database of a run. */
export interface FleetTarget {
  readonly id: string;
  readonly group: string;
  readonly dataCentre: number;
  readonly host: string;
  readonly address: string;
  readonly database: Database;
  /** True after the database was killed. */
  isKilled(): boolean;
}

/** The target databases of a run. */
export interface TargetFleet {
  readonly targets: readonly FleetTarget[];
  /** Finds a target by member id, or by its current role in the first group. */
  find(name: string): FleetTarget | undefined;
  /** The live member of a group with the highest log position. */
  newest(group: string): FleetTarget | undefined;
  /** The primary with the highest term among the live members of a group. */
  primary(group: string): FleetTarget | undefined;
  /** True if all live members have the term and log position of the primary. */
  isConverged(group: string): boolean;
  kill(target: FleetTarget): void;
}

/** Options of `startTargetFleet`. */
export interface TargetFleetOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly deployment: Deployment;
  readonly groups: number;
  readonly lag: number;
}

/** Starts one database per group and data centre. */
export function startTargetFleet(options: TargetFleetOptions): TargetFleet {
  const {random, network, deployment, groups, lag} = options;
  const targets: FleetTarget[] = [];
  const killedIds = new Set<string>();

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
      isKilled: () => killedIds.has(id),
    });
  }

  function liveMembers(group: string): FleetTarget[] {
    return targets.filter(
      target => target.group === group && !target.isKilled(),
    );
  }

  function newest(group: string): FleetTarget | undefined {
    return liveMembers(group).sort((left, right) =>
      compareLogPositions(
        right.database.control.status().end,
        left.database.control.status().end,
      ),
    )[0];
  }

  function primary(group: string): FleetTarget | undefined {
    return liveMembers(group)
      .filter(({database}) => database.control.status().role === 'primary')
      .sort(
        (left, right) =>
          right.database.control.status().term -
          left.database.control.status().term,
      )[0];
  }

  function isConverged(group: string): boolean {
    const currentPrimary = primary(group)?.database.control.status();
    return liveMembers(group).every(({database}) => {
      const {end, term} = database.control.status();
      return (
        term === currentPrimary?.term &&
        compareLogPositions(end, currentPrimary.end) === 0
      );
    });
  }

  function replicas(group: string): FleetTarget[] {
    const currentPrimary = primary(group) ?? newest(group);
    return liveMembers(group).filter(target => target !== currentPrimary);
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
      killedIds.add(target.id);
      network.killHost(target.host);
    },
  };
}
