/**
 * Keeps the manifest of this proxy up to date. Only a few proxies poll the
 * manifest row of the platform, so that the number of reads does not grow with
 * the number of proxies. The others learn of versions through gossip and fetch
 * the body from the peer that reported the version. A lower version is never
 * accepted. While platform and peers are unreachable, the current manifest
 * stays in force.
 */
import {Failure, ResultOf, peerManifest} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import type {HandlerTable} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  Unsubscribe,
  createDeferred,
  settledFuture,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, Result} from 'ts-results';

import {CurrentManifestRow, readManifestRow} from './manifest_row';
import type {AcceptedManifest} from './manifest_schema';
import {inspectManifest, manifestDigest} from './read_manifest';

/**
 * Result of `peer.manifest`; it has no manifest if the peer knows none above
 * the requested version.
 */
export type PeerManifestResult = ResultOf<typeof peerManifest>;

/** A received manifest that has not been checked yet. */
export type OfferedManifest = NonNullable<PeerManifestResult['manifest']>;

/** Parts of the proxy that the synchronizer uses, and its settings. */
export interface ManifestSynchronizerOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformClient;
  /** Returns whether this proxy polls the platform. */
  readonly polls: () => boolean;
  /** Addresses of the peers to query at startup, preferred ones first. */
  readonly peers: () => readonly string[];
  /** Requests a manifest above a version from a peer, with a timeout. */
  readonly fetchManifest: (
    address: string,
    above: number,
  ) => Future<Result<PeerManifestResult, Failure>>;
  readonly pollInterval?: Milliseconds;
  /** Called with the reason when an offered manifest fails a check. */
  readonly onRejected?: (version: number, reason: string) => void;
}

/** Holds the manifest in force on this proxy and updates it. */
export interface ManifestSynchronizer {
  /** Starts polling and, without a manifest, the search for the first one. */
  start(): void;
  current(): AcceptedManifest | undefined;
  /** Version in force; 0 without a manifest. */
  version(): number;
  /**
   * Time since the platform was last known to have no newer manifest, in
   * milliseconds; `Infinity` before the first successful read.
   */
  age(): Milliseconds;
  /**
   * Reads the manifest row and fetches a newer manifest, unless a refresh is
   * running.
   */
  refresh(): void;
  /** Settles with the first manifest in force. */
  readonly ready: Future<AcceptedManifest>;
  /** Registers a listener that is called with each manifest put in force. */
  onChange(listener: (manifest: AcceptedManifest) => void): Unsubscribe;
  /**
   * Validates a manifest that is newer than the one in force, puts it in force
   * and notifies the listeners. Returns false if it is not newer or not valid.
   */
  offer(offered: OfferedManifest): boolean;
  /** Notes the version of a peer. A newer one is fetched from that peer. */
  notePeerVersion(version: number, address: string): void;
  /** Registers the handler of `peer.manifest`. */
  serve(handlers: HandlerTable): void;
}

const DEFAULT_POLL_INTERVAL_MS = 500;
const POLL_JITTER_RATIO = 0.2;
/** Number of peers queried at startup while the platform is unavailable. */
const START_PEER_COUNT = 5;
/**
 * Maximum time that a round at startup waits for the platform, and after that
 * for the peers.
 */
const START_TIMEOUT_MS = 1000;
const MINIMUM_START_BACKOFF_MS = 100;
const MAXIMUM_START_BACKOFF_MS = 2000;
/** Maximum number of bodies that are fetched from peers at the same time. */
const MAXIMUM_CONCURRENT_FETCHES = 2;

/** Creates a manifest synchronizer that has no manifest yet. */
export function createManifestSynchronizer(
  options: ManifestSynchronizerOptions,
): ManifestSynchronizer {
  const {runtime, platform, fetchManifest} = options;
  const {random} = runtime;
  const pollInterval = options.pollInterval ?? DEFAULT_POLL_INTERVAL_MS;
  const ready = createDeferred<AcceptedManifest>();
  const listeners = new Set<(manifest: AcceptedManifest) => void>();
  const fetching = new Set<string>();
  let current: AcceptedManifest | undefined;
  let confirmedAt = -Infinity;
  let isRefreshing = false;

  function version(): number {
    return current?.version ?? 0;
  }

  function reject(offered: OfferedManifest, reason: string): false {
    options.onRejected?.(offered.version, reason);
    return false;
  }

  function offer(offered: OfferedManifest): boolean {
    if (offered.version <= version()) {
      return false;
    }
    if (manifestDigest(offered.body) !== offered.digest) {
      return reject(offered, 'The body does not match its digest.');
    }
    const name = `version-${offered.version}.yaml`;
    const {manifest, findings} = inspectManifest(offered.body, name);
    if (manifest === undefined) {
      return reject(offered, `It has ${findings.length} findings.`);
    }
    const accepted: AcceptedManifest = {...offered, manifest};
    current = accepted;
    ready.settle(accepted);
    for (const listener of [...listeners]) {
      listener(accepted);
    }
    return true;
  }

  function* fetchBody(row: CurrentManifestRow): Task<void> {
    const {value} = row;
    if (value === undefined || row.version <= version()) {
      return;
    }
    const {commitId, digest} = value;
    const object = yield* waitFor(platform.getObject(digest));
    if (object.ok) {
      offer({version: row.version, commitId, digest, body: object.val});
    }
  }

  function* readFromPlatform(): Task<void> {
    const requestedAt = runtime.timer.now();
    const row = yield* waitFor(readManifestRow(platform));
    if (row.err) {
      return;
    }
    yield* fetchBody(row.val);
    if (version() >= row.val.version) {
      confirmedAt = Math.max(confirmedAt, requestedAt);
    }
  }

  function* refreshOnce(): Task<void> {
    isRefreshing = true;
    try {
      yield* readFromPlatform();
    } finally {
      isRefreshing = false;
    }
  }

  function* poll(): Task<void> {
    for (;;) {
      yield* sleep(random.jitter(pollInterval, POLL_JITTER_RATIO));
      if (options.polls()) {
        yield* readFromPlatform();
      }
    }
  }

  /** Requests the manifest from several peers and accepts the highest one. */
  function* requestFromPeers(): Task<void> {
    const addresses = options.peers().slice(0, START_PEER_COUNT);
    const deadline = runtime.timer.now() + START_TIMEOUT_MS;
    const requests = addresses.map(address =>
      fetchManifest(address, version()),
    );
    const offers: OfferedManifest[] = [];
    for (const request of requests) {
      const remaining = Math.max(0, deadline - runtime.timer.now());
      const reply = yield* waitWithTimeout(request, remaining);
      if (reply?.ok && reply.val.manifest !== undefined) {
        offers.push(reply.val.manifest);
      }
    }
    // After the highest valid version is accepted, `offer` rejects the rest.
    offers.sort((left, right) => right.version - left.version).forEach(offer);
  }

  function* findInitialManifest(): Task<void> {
    let backoff = MINIMUM_START_BACKOFF_MS;
    while (current === undefined) {
      const reading = runtime.spawn('ask platform', readFromPlatform());
      yield* waitWithTimeout(reading.result, START_TIMEOUT_MS);
      if (current === undefined) {
        yield* requestFromPeers();
      }
      if (current === undefined) {
        yield* sleep(random.jitter(backoff, POLL_JITTER_RATIO));
        backoff = Math.min(2 * backoff, MAXIMUM_START_BACKOFF_MS);
      }
    }
  }

  function* fetchFrom(address: string): Task<void> {
    fetching.add(address);
    try {
      const reply = yield* waitFor(fetchManifest(address, version()));
      if (reply.ok && reply.val.manifest !== undefined) {
        offer(reply.val.manifest);
      }
    } finally {
      fetching.delete(address);
    }
  }

  /**
   * Fetches a newer manifest from the peer that reports it, unless too many
   * fetches are running. A failed fetch is repeated when a peer reports its
   * version again.
   */
  function notePeerVersion(peerVersion: number, address: string): void {
    const isWanted =
      peerVersion > version() &&
      fetching.size < MAXIMUM_CONCURRENT_FETCHES &&
      !fetching.has(address);
    if (isWanted) {
      runtime.spawn('fetch manifest', fetchFrom(address));
    }
  }

  function answer(above: number): PeerManifestResult {
    if (current === undefined || current.version <= above) {
      return {};
    }
    const {commitId, digest, body} = current;
    return {manifest: {version: current.version, commitId, digest, body}};
  }

  return {
    start() {
      runtime.spawn('find manifest', findInitialManifest());
      runtime.spawn('poll manifest', poll());
    },
    current: () => current,
    version,
    age: () => runtime.timer.now() - confirmedAt,
    refresh() {
      if (!isRefreshing) {
        runtime.spawn('confirm manifest', refreshOnce());
      }
    },
    ready: ready.future,
    onChange(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    offer,
    notePeerVersion,
    serve(handlers) {
      handlers.handle(peerManifest, ({above}) =>
        settledFuture(Ok(answer(above))),
      );
    },
  };
}
