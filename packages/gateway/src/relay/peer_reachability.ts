/**
 * Which proxies can be reached. One that can't is tried again in the background,
 * so that no statement pays for the attempt; after a while others take its part.
 */
import {
  type Future,
  type Milliseconds,
  type RetryPauseBounds,
  type Runtime,
  type Task,
  retryPause,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

/** What reachability is made of. */
export interface PeerReachabilityOptions {
  readonly runtime: Runtime;
  /** Asks the proxy at an address for a sign of life. */
  isAnswering(address: string): Future<boolean>;
  /** False once the proxy at the address is no longer among those that run. */
  isListed(address: string): boolean;
}

/** Tells which proxies can be reached. */
export interface PeerReachability {
  /** A connection to the address failed or was lost. */
  noteFailure(address: string): void;
  /** False from a failure until it is reached again. */
  isUsable(address: string): boolean;
  /** Addresses not reached for `LOST_AFTER`; another set after each change. */
  lost(): ReadonlySet<string>;
}

/**
 * Before a proxy is tried again: one that restarts is back soon, a cut or a dead one
 * costs two attempts a second.
 */
const PAUSES: RetryPauseBounds = {first: 100, longest: 500};
/**
 * Silence after which another proxy holds connections in its place. A process that
 * is killed starts again within about a second.
 */
const LOST_AFTER: Milliseconds = 1200;

/** Creates reachability; all proxies count as reached at first. */
export function createPeerReachability(
  options: PeerReachabilityOptions,
): PeerReachability {
  const {runtime, isAnswering, isListed} = options;
  const {timer, random} = runtime;
  const failing = new Set<string>();
  let lost: ReadonlySet<string> = new Set();

  function setLost(address: string, isLost: boolean): void {
    if (lost.has(address) === isLost) {
      return;
    }
    const next = new Set(lost);
    if (isLost) {
      next.add(address);
    } else {
      next.delete(address);
    }
    lost = next;
  }

  function forget(address: string): void {
    failing.delete(address);
    setLost(address, false);
  }

  function* tryAgain(address: string, since: Milliseconds): Task<void> {
    for (let failures = 0; isListed(address); failures++) {
      yield* sleep(retryPause(PAUSES, failures, random));
      if (yield* waitFor(isAnswering(address))) {
        break;
      }
      setLost(address, timer.now() - since >= LOST_AFTER);
    }
    forget(address);
  }

  return {
    noteFailure(address) {
      if (!failing.has(address)) {
        failing.add(address);
        runtime.spawn('reach peer', tryAgain(address, timer.now()));
      }
    },
    isUsable: address => !failing.has(address),
    lost: () => lost,
  };
}
