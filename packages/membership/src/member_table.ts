/** What this proxy knows of all proxies, with checksums to compare views. */
import {
  PeerCondition,
  PeerUpdate,
  ProxyIdentity,
  VIEW_BUCKETS,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import {hashText, mixHashes} from './hash';

/** A proxy in the table. */
export interface MemberEntry {
  readonly key: string;
  readonly update: PeerUpdate;
  /** Place on the ring of proxies. */
  readonly hash: number;
  /** Monotonic time of its last change. */
  readonly changedAt: Milliseconds;
}

/** The table; entries are replaced, never changed. */
export interface MemberTable {
  get(key: string): MemberEntry | undefined;
  /** Takes an update if it is newer; gives the entry if it changed. */
  merge(update: PeerUpdate, now: Milliseconds): MemberEntry | undefined;
  /** Proxies that aren't dead, in the order of the ring. */
  present(): readonly MemberEntry[];
  /** Dead proxies that are still remembered. */
  dead(): readonly MemberEntry[];
  /** Forgets the dead that died before a time. */
  forgetDeadBefore(time: Milliseconds): void;
  /** Checksum over all that aren't dead. */
  checksum(): number;
  bucketChecksums(): number[];
  /** Entries of the buckets whose checksums differ, at most `limit`. */
  differingFrom(checksums: readonly number[], limit: number): PeerUpdate[];
  /** Monotonic time of the last change. */
  changedAt(): Milliseconds;
}

const BUCKET_SHIFT = 32 - Math.log2(VIEW_BUCKETS);

const BADNESS: Readonly<Record<PeerCondition, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** Names a process: two processes may bear the same id one after the other. */
export function memberKey(identity: ProxyIdentity): string {
  return `${identity.proxy}/${identity.incarnation}`;
}

function bucketOf(hash: number): number {
  return hash >>> BUCKET_SHIFT;
}

/** The dead count nothing: they are forgotten at different times. */
function checksumOf({update, hash}: MemberEntry): number {
  const {revision, leaving, condition} = update;
  return condition === 'dead'
    ? 0
    : mixHashes(hash, 2 * revision + (leaving ? 1 : 0));
}

function isNewer(update: PeerUpdate, known: PeerUpdate): boolean {
  return (
    update.revision > known.revision ||
    (update.revision === known.revision &&
      BADNESS[update.condition] > BADNESS[known.condition])
  );
}

/** Joins two updates; undefined if the new one adds nothing. */
function join(known: PeerUpdate, update: PeerUpdate): PeerUpdate | undefined {
  const leaving = known.leaving || update.leaving;
  if (isNewer(update, known)) {
    return {...update, leaving};
  }
  return leaving === known.leaving ? undefined : {...known, leaving};
}

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
  const entries = new Map<string, MemberEntry>();
  const buckets = new Uint32Array(VIEW_BUCKETS);
  let ring: readonly MemberEntry[] | undefined;
  let changedAt: Milliseconds = 0;

  function toggleChecksum(entry: MemberEntry): void {
    const bucket = bucketOf(entry.hash);
    buckets[bucket] = ((buckets[bucket] ?? 0) ^ checksumOf(entry)) >>> 0;
  }

  function put(entry: MemberEntry): void {
    const before = entries.get(entry.key);
    if (before !== undefined) {
      toggleChecksum(before);
    }
    toggleChecksum(entry);
    entries.set(entry.key, entry);
    ring = undefined;
    changedAt = entry.changedAt;
  }

  function merge(
    update: PeerUpdate,
    now: Milliseconds,
  ): MemberEntry | undefined {
    const key = memberKey(update.proxy);
    const known = entries.get(key);
    const joined = known === undefined ? update : join(known.update, update);
    if (joined === undefined) {
      return undefined;
    }
    const hash = known?.hash ?? hashText(key);
    const entry = {key, update: joined, hash, changedAt: now};
    put(entry);
    return entry;
  }

  function present(): readonly MemberEntry[] {
    ring ??= [...entries.values()]
      .filter(({update}) => update.condition !== 'dead')
      .sort((left, right) => left.hash - right.hash);
    return ring;
  }

  function dead(): readonly MemberEntry[] {
    return [...entries.values()].filter(
      ({update}) => update.condition === 'dead',
    );
  }

  function differingFrom(
    checksums: readonly number[],
    limit: number,
  ): PeerUpdate[] {
    const differing = [...entries.values()].filter(({hash}) => {
      const bucket = bucketOf(hash);
      return checksums[bucket] !== buckets[bucket];
    });
    // Bucket by bucket, so that repeated questions go through all of them.
    return differing
      .sort((left, right) => left.hash - right.hash)
      .slice(0, limit)
      .map(({update}) => update);
  }

  return {
    get: key => entries.get(key),
    merge,
    present,
    dead,
    forgetDeadBefore(time) {
      for (const {key, changedAt: diedAt} of dead()) {
        if (diedAt < time) {
          entries.delete(key);
        }
      }
    },
    checksum: () => buckets.reduce((sum, each) => (sum ^ each) >>> 0, 0),
    bucketChecksums: () => [...buckets],
    differingFrom,
    changedAt: () => changedAt,
  };
}
