/** Reads the platform's list of instances on the proxies that do it for all. */
import type {PlatformClient} from '@kelpstep/platform';
import type {ListedInstance} from '@kelpstep/protocol';
import {Milliseconds, Runtime, Task, sleep, waitFor} from '@kelpstep/runtime';

/** What a watch is made of. */
export interface InstanceWatchOptions {
  readonly runtime: Runtime;
  readonly platform: Pick<PlatformClient, 'listInstances'>;
  /** True if this proxy is one of those that read the list. */
  readonly polls: () => boolean;
  readonly onList: (instances: readonly ListedInstance[]) => void;
  readonly interval?: Milliseconds;
}

const DEFAULT_INTERVAL = 1000;
const JITTER = 0.2;

/** Starts to read the list; an outage leaves what was read before. */
export function startInstanceWatch(options: InstanceWatchOptions): void {
  const {runtime, platform, polls, onList} = options;
  const interval = options.interval ?? DEFAULT_INTERVAL;

  function* watch(): Task<void> {
    for (;;) {
      yield* sleep(runtime.random.jitter(interval, JITTER));
      if (!polls()) {
        continue;
      }
      const list = yield* waitFor(platform.listInstances());
      if (list.ok) {
        onList(list.val);
      }
    }
  }
  runtime.spawn('watch instances', watch());
}
