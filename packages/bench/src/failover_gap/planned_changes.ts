/** Planned changes: a primary leaves by manifest. */
import {CALLER_METHODS} from '@kelpstep/protocol';
import {
  PROCESS_GROUP,
  ProcessCluster,
  createSessionCaller,
  realClock,
} from '@kelpstep/scenarios';
import {setTimeout as sleep} from 'node:timers/promises';

import {longestGap, startMeasuredWriters} from './losses';

/** Samples of planned changes, milliseconds, one a run each. */
export interface PlannedChanges {
  /** Longest time without a confirmed write around the switch-over. */
  readonly switchOver: readonly number[];
  /** From the commit's start until all proxies have the manifest in force. */
  readonly inForce: readonly number[];
  /** From the commit's start to the last request that the target served. */
  readonly lastWork: readonly number[];
}

interface ServedRead {
  readonly target: string;
  readonly sentAt: number;
}

const READERS = 4;
const PAUSE = 10;
const MAXIMUM_AGE = 3000;
const ENTRIES_BEFORE = 20;
/** Work of a leaving target is looked for during this time. */
const OBSERVATION_TIME = 3000;

/** Readers of a stated age, who note which target served them. */
function startReaders(cluster: ProcessCluster) {
  const served: ServedRead[] = [];
  let stopping = false;

  async function read(): Promise<void> {
    const caller = createSessionCaller({
      group: PROCESS_GROUP,
      proxies: cluster.callerAddresses,
    });
    const statement = {text: 'get ?', parameters: ['any']};
    while (!stopping) {
      const sentAt = realClock.now();
      const {servedBy} = await caller.send(CALLER_METHODS.read, {
        statement,
        maximumAge: MAXIMUM_AGE,
      });
      served.push({target: servedBy.target, sentAt});
      await sleep(PAUSE);
    }
  }

  const running = Promise.all(Array.from({length: READERS}, read));
  return {
    served,
    async stop(): Promise<void> {
      stopping = true;
      await running;
    },
  };
}

/** Lets the primary leave and come back, again and again. */
export async function measurePlannedChanges(
  cluster: ProcessCluster,
  runs: number,
): Promise<PlannedChanges> {
  const names = cluster.plans.map(({name}) => name);
  const [operatorsProxy = ''] = names;
  const switchOver: number[] = [];
  const inForce: number[] = [];
  const lastWork: number[] = [];
  const load = startMeasuredWriters(cluster);
  const readers = startReaders(cluster);
  let version = 1;

  async function commit(leaving: readonly string[]): Promise<void> {
    await cluster.commit(operatorsProxy, version, leaving);
    version++;
    await Promise.all(names.map(name => cluster.untilInForce(name, version)));
  }

  for (let run = 0; run < runs; run++) {
    const primary = await cluster.untilWhole();
    await load.untilConfirmed(ENTRIES_BEFORE);
    const startedAt = realClock.now();
    await commit([primary.id]);
    inForce.push(realClock.now() - startedAt);
    await cluster.untilPrimary(operatorsProxy, primary);
    await sleep(OBSERVATION_TIME);
    switchOver.push(longestGap(load.confirmed, startedAt, realClock.now()));
    const late = readers.served
      .filter(({target}) => target === primary.id)
      .map(({sentAt}) => sentAt - startedAt);
    lastWork.push(Math.max(0, ...late));
    await commit([]);
  }
  await load.stop();
  await readers.stop();
  return {switchOver, inForce, lastWork};
}
