/** Measures planned changes: the manifest marks the primary as leaving. */
import {CALLER_METHODS} from '@kelpstep/protocol';
import {
  PROCESS_GROUP,
  ProcessCluster,
  createSessionCaller,
  realClock,
} from '@kelpstep/scenarios';
import {setTimeout as sleep} from 'node:timers/promises';

import {longestConfirmationGap, startWriters} from './primary_failures';

/** Samples of planned changes in milliseconds, one of each kind per run. */
export interface PlannedChanges {
  /**
   * Longest time without a confirmed write, from the start of the commit until
   * the observation time is over.
   */
  readonly switchOver: readonly number[];
  /**
   * Time from the start of the commit until the manifest is in force on all
   * proxies.
   */
  readonly inForce: readonly number[];
  /**
   * Time from the start of the commit until a reader sent the last read that
   * the leaving target served; 0 if it served none.
   */
  readonly lastRead: readonly number[];
}

interface ServedRead {
  readonly target: string;
  readonly sentAt: number;
}

const READER_COUNT = 4;
const READ_PAUSE_MS = 10;
const MAXIMUM_AGE_MS = 3000;
const ENTRY_COUNT_BEFORE = 20;
/** Time after the switch-over for which the load still counts in the run. */
const OBSERVATION_TIME_MS = 3000;

/** Starts readers that accept staleness and record the target of each read. */
function startReaders(cluster: ProcessCluster) {
  const served: ServedRead[] = [];
  let isStopping = false;

  async function read(): Promise<void> {
    const caller = createSessionCaller({
      group: PROCESS_GROUP,
      proxies: cluster.callerAddresses,
    });
    const statement = {text: 'get ?', parameters: ['any']};
    while (!isStopping) {
      const sentAt = realClock.now();
      const {servedBy} = await caller.send(CALLER_METHODS.read, {
        statement,
        maximumAge: MAXIMUM_AGE_MS,
      });
      served.push({target: servedBy.target, sentAt});
      await sleep(READ_PAUSE_MS);
    }
  }

  const running = Promise.all(Array.from({length: READER_COUNT}, read));
  return {
    served,
    async stop(): Promise<void> {
      isStopping = true;
      await running;
    },
  };
}

/** Repeatedly marks the primary as leaving, then restores the manifest. */
export async function measurePlannedChanges(
  cluster: ProcessCluster,
  runs: number,
): Promise<PlannedChanges> {
  const names = cluster.plans.map(({name}) => name);
  const [operatorProxy = ''] = names;
  const switchOver: number[] = [];
  const inForce: number[] = [];
  const lastRead: number[] = [];
  const load = startWriters(cluster);
  const readers = startReaders(cluster);
  let version = 1;

  async function commit(leaving: readonly string[]): Promise<void> {
    await cluster.commit(operatorProxy, version, leaving);
    version++;
    await Promise.all(names.map(name => cluster.untilInForce(name, version)));
  }

  for (let run = 0; run < runs; run++) {
    const primary = await cluster.untilConverged();
    await load.untilConfirmed(ENTRY_COUNT_BEFORE);
    const startedAt = realClock.now();
    await commit([primary.id]);
    inForce.push(realClock.now() - startedAt);
    await cluster.untilPrimary(operatorProxy, primary);
    await sleep(OBSERVATION_TIME_MS);
    switchOver.push(
      longestConfirmationGap(load.confirmed, startedAt, realClock.now()),
    );
    const readDelays = readers.served
      .filter(({target}) => target === primary.id)
      .map(({sentAt}) => sentAt - startedAt);
    lastRead.push(Math.max(0, ...readDelays));
    await commit([]);
  }
  await load.stop();
  await readers.stop();
  return {switchOver, inForce, lastRead};
}
