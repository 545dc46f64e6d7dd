/** Polls the platform's list of instances on the proxies responsible for it. */
import type {PlatformClient} from '@kelpstep/platform';
import type {ListedInstance} from '@kelpstep/protocol';
import {Milliseconds, Runtime, Task, sleep, waitFor} from '@kelpstep/runtime';

/** The interval is 1 s by default; each wait is varied by up to 20 per cent. */
export interface InstancePollingOptions {
  readonly runtime: Runtime;
  readonly platform: Pick<PlatformClient, 'listInstances'>;
  /** True if this proxy is responsible for polling the list. */
  readonly polls: () => boolean;
  readonly onList: (instances: readonly ListedInstance[]) => void;
  readonly interval?: Milliseconds;
}

const DEFAULT_INTERVAL_MS = 1000;
const JITTER_RATIO = 0.2;

/**
 * Starts polling. `onList` is not called during a platform outage, so the last
 * list stays in effect.
 */
export function startInstancePolling(options: InstancePollingOptions): void {
  const {runtime, platform, polls, onList} = options;
  const interval = options.interval ?? DEFAULT_INTERVAL_MS;

  function* poll(): Task<void> {
    for (;;) {
      yield* sleep(runtime.random.jitter(interval, JITTER_RATIO));
      if (!polls()) {
        continue;
      }
      const list = yield* waitFor(platform.listInstances());
      if (list.ok) {
        onList(list.val);
      }
    }
  }
  runtime.spawn('watch instances', poll());
}
