/**
 * Tracks which proxies are reachable. An unreachable one is retried in the
 * background, so that no statement is delayed by the attempt; after some time
 * other proxies replace it as a connection owner.
 */
import {
  type Future,
  type Milliseconds,
  type RetryBackoffBounds,
  type Runtime,
  type Task,
  retryBackoff,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

export interface PeerReachabilityOptions {
  readonly runtime: Runtime;
  /** Sends a heartbeat request to an address; true if it is answered. */
  sendHeartbeat(address: string): Future<boolean>;
  /** False once no running proxy has the address. */
  isLive(address: string): boolean;
}

/**
 * Tracks which proxies are reachable, by the relay addresses of the proxies.
 */
export interface PeerReachability {
  /** Records that a connection to the address failed or was lost. */
  recordFailure(address: string): void;
  /**
   * False from a failure until a heartbeat is answered, or until no running
   * proxy has the address.
   */
  isUsable(address: string): boolean;
  /**
   * Addresses that have been unreachable for `LOST_AFTER_MS` or longer; a new
   * set after each change.
   */
  lost(): ReadonlySet<string>;
}

/**
 * Backoff between heartbeats in milliseconds. It is short at first because a
 * restarting proxy is back soon, and allows about two attempts per second to a
 * proxy that is partitioned or stopped.
 */
const RETRY_BACKOFF: RetryBackoffBounds = {first: 100, longest: 500};
/**
 * Time after which another proxy replaces an unreachable connection owner. A
 * killed process restarts within about a second.
 */
const LOST_AFTER_MS: Milliseconds = 1200;

/** Creates a tracker; all proxies count as reachable at first. */
export function createPeerReachability(
  options: PeerReachabilityOptions,
): PeerReachability {
  const {runtime, sendHeartbeat, isLive} = options;
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

  function clearFailure(address: string): void {
    failing.delete(address);
    setLost(address, false);
  }

  function* retryUntilReached(
    address: string,
    since: Milliseconds,
  ): Task<void> {
    for (let failures = 0; isLive(address); failures++) {
      yield* sleep(retryBackoff(RETRY_BACKOFF, failures, random));
      if (yield* waitFor(sendHeartbeat(address))) {
        break;
      }
      setLost(address, timer.now() - since >= LOST_AFTER_MS);
    }
    clearFailure(address);
  }

  return {
    recordFailure(address) {
      if (!failing.has(address)) {
        failing.add(address);
        runtime.spawn('reach peer', retryUntilReached(address, timer.now()));
      }
    },
    isUsable: address => !failing.has(address),
    lost: () => lost,
  };
}
