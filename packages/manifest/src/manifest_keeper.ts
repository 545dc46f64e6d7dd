/**
 * Keeps the manifest in force on this proxy. A few proxies poll the platform's
 * row, so that its reads don't grow with the proxies; the others hear of
 * versions from peers and fetch the body from whoever told. A lower version is
 * never taken, and without platform and peers the proxy goes on with what it
 * has.
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
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import {Ok, Result} from 'ts-results';

import {CurrentManifestRow, readManifestRow} from './manifest_row';
import type {AcceptedManifest} from './manifest_schema';
import {inspectManifest, manifestDigest} from './read_manifest';

/** A peer's answer to `peer.manifest`. */
export type PeerManifestAnswer = ResultOf<typeof peerManifest>;

/** A manifest that was offered, before it is checked. */
export type OfferedManifest = NonNullable<PeerManifestAnswer['manifest']>;

/** What a keeper is made of. */
export interface ManifestKeeperOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformClient;
  /** True if this proxy is one of those that poll the platform. */
  readonly polls: () => boolean;
  /** Addresses of peers to ask at the start, the most useful first. */
  readonly peers: () => readonly string[];
  /** Asks a peer for a manifest above a version; settles within a timeout. */
  readonly fetchManifest: (
    address: string,
    above: number,
  ) => Future<Result<PeerManifestAnswer, Failure>>;
  readonly pollInterval?: Milliseconds;
  /** Told why an offered manifest was not taken. */
  readonly onRejected?: (version: number, reason: string) => void;
}

/** The manifest in force on this proxy. */
export interface ManifestKeeper {
  /** Starts polling and, without a manifest, looking for one. */
  start(): void;
  current(): AcceptedManifest | undefined;
  /** Version in force; 0 without one. */
  version(): number;
  /**
   * Time since the platform was known to have no newer manifest; `Infinity`
   * before the first answer.
   */
  age(): Milliseconds;
  /** Asks the platform whether there is a newer one, unless it is being asked. */
  confirm(): void;
  /** Settles with the first manifest in force. */
  readonly ready: Future<AcceptedManifest>;
  /** Calls the listener with each manifest that comes into force. */
  onChange(listener: (manifest: AcceptedManifest) => void): Unsubscribe;
  /** Takes a manifest if it is sound and newer; true if it was taken. */
  offer(offered: OfferedManifest): boolean;
  /** Tells that a peer has a version; a newer one is fetched from it. */
  heard(version: number, address: string): void;
  /** Serves `peer.manifest`. */
  serve(handlers: HandlerTable): void;
}

const DEFAULT_POLL_INTERVAL = 500;
const POLL_JITTER = 0.2;
/** Peers that a proxy without a manifest asks while the platform is out. */
const PEERS_ASKED = 5;
/** Longest wait for the platform, and for the peers, before the other. */
const START_PATIENCE = 1000;
const SHORTEST_START_PAUSE = 100;
const LONGEST_START_PAUSE = 2000;
/** Bodies that are fetched from peers at a time. */
const CONCURRENT_FETCHES = 2;

/** Creates a keeper without a manifest. */
export function createManifestKeeper(
  options: ManifestKeeperOptions,
): ManifestKeeper {
  const {runtime, platform, fetchManifest} = options;
  const {random} = runtime;
  const pollInterval = options.pollInterval ?? DEFAULT_POLL_INTERVAL;
  const ready = createDeferred<AcceptedManifest>();
  const listeners = new Set<(manifest: AcceptedManifest) => void>();
  const fetching = new Set<string>();
  let current: AcceptedManifest | undefined;
  let confirmedAt = -Infinity;
  let isConfirming = false;

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

  function* readBody(row: CurrentManifestRow): Task<void> {
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

  function* askPlatform(): Task<void> {
    const askedAt = runtime.timer.now();
    const row = yield* waitFor(readManifestRow(platform));
    if (row.err) {
      return;
    }
    yield* readBody(row.val);
    if (version() >= row.val.version) {
      confirmedAt = Math.max(confirmedAt, askedAt);
    }
  }

  function* confirmOnce(): Task<void> {
    isConfirming = true;
    try {
      yield* askPlatform();
    } finally {
      isConfirming = false;
    }
  }

  function* poll(): Task<void> {
    for (;;) {
      yield* sleep(random.jitter(pollInterval, POLL_JITTER));
      if (options.polls()) {
        yield* askPlatform();
      }
    }
  }

  /** Takes the highest version that several peers have. */
  function* askPeers(): Task<void> {
    const addresses = options.peers().slice(0, PEERS_ASKED);
    const deadline = runtime.timer.now() + START_PATIENCE;
    const asked = addresses.map(address => fetchManifest(address, version()));
    const offers: OfferedManifest[] = [];
    for (const answer of asked) {
      const patience = Math.max(0, deadline - runtime.timer.now());
      const reply = yield* waitAtMost(answer, patience);
      if (reply?.ok && reply.val.manifest !== undefined) {
        offers.push(reply.val.manifest);
      }
    }
    // Once the highest sound one is taken, the others are refused as lower.
    offers.sort((left, right) => right.version - left.version).forEach(offer);
  }

  function* findFirst(): Task<void> {
    let pause = SHORTEST_START_PAUSE;
    while (current === undefined) {
      const asking = runtime.spawn('ask platform', askPlatform());
      yield* waitAtMost(asking.result, START_PATIENCE);
      if (current === undefined) {
        yield* askPeers();
      }
      if (current === undefined) {
        yield* sleep(random.jitter(pause, POLL_JITTER));
        pause = Math.min(2 * pause, LONGEST_START_PAUSE);
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

  /** A fetch that fails is repeated when a peer tells its version again. */
  function heard(heardVersion: number, address: string): void {
    const isWanted =
      heardVersion > version() &&
      fetching.size < CONCURRENT_FETCHES &&
      !fetching.has(address);
    if (isWanted) {
      runtime.spawn('fetch manifest', fetchFrom(address));
    }
  }

  function answer(above: number): PeerManifestAnswer {
    if (current === undefined || current.version <= above) {
      return {};
    }
    const {commitId, digest, body} = current;
    return {manifest: {version: current.version, commitId, digest, body}};
  }

  return {
    start() {
      runtime.spawn('find manifest', findFirst());
      runtime.spawn('poll manifest', poll());
    },
    current: () => current,
    version,
    age: () => runtime.timer.now() - confirmedAt,
    confirm() {
      if (!isConfirming) {
        runtime.spawn('confirm manifest', confirmOnce());
      }
    },
    ready: ready.future,
    onChange(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    offer,
    heard,
    serve(handlers) {
      handlers.handle(peerManifest, ({above}) =>
        settledFuture(Ok(answer(above))),
      );
    },
  };
}
