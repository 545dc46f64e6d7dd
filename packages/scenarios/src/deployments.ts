/** Data centres, latencies and sizes of the two current deployments. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Names of the deployments. */
export type DeploymentName = 'office' | 'utility';

/** Parameters of a deployment. */
export interface Deployment {
  readonly service: string;
  readonly dataCentres: readonly [string, string, string];
  /** One way, within one data centre. */
  readonly localLatency: Milliseconds;
  /** One way, between data centres of one region. */
  readonly dataCentreLatency: Milliseconds;
  /** One way, between regions. */
  readonly regionLatency: Milliseconds;
  /** One way, between a caller and a proxy. */
  readonly callerLatency: Milliseconds;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly connectionSetup: Milliseconds;
  /** Time for which a statement occupies a slot. */
  readonly serviceTime: Milliseconds;
  readonly groupPrefix: string;
}

/** Deployments by name. The third data centre is in another region. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  office: {
    service: 'handbook',
    dataCentres: ['fukuoka', 'kumamoto', 'kagoshima'],
    localLatency: 0.2,
    dataCentreLatency: 1,
    regionLatency: 12,
    callerLatency: 1,
    slots: 3,
    connectionLimit: 20,
    connectionSetup: 12,
    serviceTime: 2,
    groupPrefix: 'handbook',
  },
  utility: {
    service: 'logbook',
    dataCentres: ['lima', 'arequipa', 'trujillo'],
    localLatency: 0.2,
    dataCentreLatency: 0.5,
    regionLatency: 8,
    callerLatency: 3,
    slots: 5,
    connectionLimit: 55,
    connectionSetup: 30,
    serviceTime: 2,
    groupPrefix: 'logbook',
  },
};

/** Port on which every stand-in target listens. */
const TARGET_PORT = 5432;

/** Index of the data centre that is in another region. */
const REMOTE_DATA_CENTRE = 2;

/** IP of a target's host; each data centre has its own network. */
export function targetHost(dataCentre: number, group: number): string {
  return `10.${dataCentre}.1.${group + 1}`;
}

/** Address, `IP:PORT`, of the member of a group in a data centre. */
export function targetAddress(dataCentre: number, group: number): string {
  return `${targetHost(dataCentre, group)}:${TARGET_PORT}`;
}

/** IP of a proxy's host. */
export function proxyHost(dataCentre: number, index: number): string {
  return `10.${dataCentre}.2.${index + 1}`;
}

/** Index of the data centre of a host. */
export function dataCentreOf(host: string): number {
  return Number(host.split('.')[1]);
}

/** One-way latency between two hosts of a deployment. */
export function latencyBetween(
  deployment: Deployment,
  from: string,
  to: string,
): Milliseconds {
  const left = dataCentreOf(from);
  const right = dataCentreOf(to);
  if (left === right) {
    return deployment.localLatency;
  }
  const isRemote = left === REMOTE_DATA_CENTRE || right === REMOTE_DATA_CENTRE;
  return isRemote ? deployment.regionLatency : deployment.dataCentreLatency;
}

/** Name of a group by its index. */
export function groupName(deployment: Deployment, group: number): string {
  return `${deployment.groupPrefix}-${group + 1}`;
}

/** Id of the member of a group in a data centre. */
export function memberId(
  deployment: Deployment,
  group: number,
  dataCentre: number,
): string {
  return `${groupName(deployment, group)}-${deployment.dataCentres[dataCentre]}`;
}

/** Text of the manifest; members in `leaving` have the state `leaving`. */
export function manifestText(
  deployment: Deployment,
  groups: number,
  readStaleness: Milliseconds,
  leaving: ReadonlySet<string>,
): string {
  const lines = [
    'format: 1',
    `service: ${deployment.service}`,
    `dataCentres: [${deployment.dataCentres.join(', ')}]`,
    'groups:',
  ];
  for (let group = 0; group < groups; group++) {
    lines.push(`  - name: ${groupName(deployment, group)}`);
    lines.push(`    readStaleness: ${readStaleness}`);
    lines.push('    members:');
    deployment.dataCentres.forEach((dataCentre, index) => {
      const id = memberId(deployment, group, index);
      lines.push(`      - id: ${id}`);
      lines.push(`        dataCentre: ${dataCentre}`);
      lines.push(`        address: ${targetAddress(index, group)}`);
      lines.push(`        state: ${leaving.has(id) ? 'leaving' : 'serving'}`);
      lines.push(`        slots: ${deployment.slots}`);
      lines.push(`        connectionLimit: ${deployment.connectionLimit}`);
    });
  }
  lines.push(
    'kinds:',
    '  - {name: view, worth: 1, deadline: 1000}',
    '  - {name: record, worth: 20, deadline: 2000}',
    '  - {name: report, worth: 5, deadline: 3000}',
    '  - {name: acknowledgement, worth: 20, deadline: 2000}',
    '  - {name: entry, worth: 10, deadline: 2000}',
    'stop: {drainTime: 1000, acceptTime: 300}',
    '',
  );
  return lines.join('\n');
}
