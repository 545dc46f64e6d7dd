/** The platform of a simulated run and its partitions from data centres. */
import type {PlatformClient} from '@kelpstep/platform';
import type {ListedInstance} from '@kelpstep/protocol';
import type {TimerService} from '@kelpstep/runtime';
import {
  createInProcessPlatformClient,
  createPlatform,
} from '@kelpstep/stand-ins';

import {dataCentreOf} from './deployments';

/** Access to the platform from the hosts of a run. */
export interface PlatformAccess {
  readonly platform: ReturnType<typeof createPlatform>;
  /**
   * Creates a client for a host; it fails while the host's data centre is
   * partitioned.
   */
  clientFor(host: string, timer: TimerService): PlatformClient;
  partitionDataCentre(dataCentre: number): void;
  healAll(): void;
  /** Adds an instance to the platform's list, or updates its entry. */
  list(instance: ListedInstance): void;
}

const LATENCY_MS = 4;
const LISTING_LAG_MS = 500;

/** Creates the platform; changes of its list become visible with a delay. */
export function createPlatformAccess(timer: TimerService): PlatformAccess {
  const platform = createPlatform(timer);
  platform.configure({latency: LATENCY_MS, listingLag: LISTING_LAG_MS});
  const partitioned = new Set<number>();
  const listed = new Map<string, ListedInstance>();

  return {
    platform,
    clientFor: (host, hostTimer) =>
      createInProcessPlatformClient({
        platform,
        timer: hostTimer,
        platformTimer: timer,
        isReachable: () => !partitioned.has(dataCentreOf(host)),
      }),
    partitionDataCentre: dataCentre => partitioned.add(dataCentre),
    healAll: () => partitioned.clear(),
    list(instance) {
      listed.set(instance.id, instance);
      platform.setInstances([...listed.values()]);
    },
  };
}
