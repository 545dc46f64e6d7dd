/** The platform of a simulated run and the cuts between it and data centres. */
import type {PlatformClient} from '@kelpstep/platform';
import type {ListedInstance} from '@kelpstep/protocol';
import type {TimerService} from '@kelpstep/runtime';
import {
  createInProcessPlatformClient,
  createPlatform,
} from '@kelpstep/stand-ins';

import {dataCentreOf} from './deployments';

/** The platform as the hosts of a run reach it. */
export interface PlatformAccess {
  readonly platform: ReturnType<typeof createPlatform>;
  /** A client for a process; it is cut off with its data centre. */
  clientFor(host: string, timer: TimerService): PlatformClient;
  cutDataCentre(dataCentre: number): void;
  healAll(): void;
  /** Changes the state of an instance in the list. */
  list(instance: ListedInstance): void;
}

const LATENCY = 4;
const LISTING_LAG = 500;

/** Creates the platform; its list lags. */
export function createPlatformAccess(timer: TimerService): PlatformAccess {
  const platform = createPlatform(timer);
  platform.configure({latency: LATENCY, listingLag: LISTING_LAG});
  const cutOff = new Set<number>();
  const listed = new Map<string, ListedInstance>();

  return {
    platform,
    clientFor: (host, hostTimer) =>
      createInProcessPlatformClient({
        platform,
        timer: hostTimer,
        platformTimer: timer,
        isReachable: () => !cutOff.has(dataCentreOf(host)),
      }),
    cutDataCentre: dataCentre => cutOff.add(dataCentre),
    healAll: () => cutOff.clear(),
    list(instance) {
      listed.set(instance.id, instance);
      platform.setInstances([...listed.values()]);
    },
  };
}
