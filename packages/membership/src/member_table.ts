/** Table of all known proxies, with checksums for the comparison of views. */
import {
  PeerCondition,
  PeerUpdate,
  ProxyIdentity,
  VIEW_BUCKET_COUNT,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import {hashText, mixHashes} from './hash';

/** The current update on a proxy with its position on the ring. */
export interface MemberEntry {
  readonly key: string;
  readonly update: PeerUpdate;
  /** Position on the ring of proxies. */
  readonly hash: number;
  /** Monotonic time of the entry's last change. */
  readonly changedAt: Milliseconds;
}

/** Table of proxies; entries are immutable and replaced on change. */
export interface MemberTable {
  get(key: string): MemberEntry | undefined;
  /** Merges an update; returns the entry if it changed. */
  merge(update: PeerUpdate, now: Milliseconds): MemberEntry | undefined;
  /** Proxies that aren't dead, in ring order. */
  present(): readonly MemberEntry[];
  /** Dead proxies that haven't been removed yet. */
  dead(): readonly MemberEntry[];
  /** Removes proxies that died before a time. */
  forgetDeadBefore(time: Milliseconds): void;
  /** Checksum over all proxies that aren't dead. */
  checksum(): number;
  bucketChecksums(): number[];
  /** Entries of the buckets whose checksums differ, at most `limit`. */
  differingFrom(checksums: readonly number[], limit: number): PeerUpdate[];
  /** Monotonic time of the last change. */
  changedAt(): Milliseconds;
}

const BUCKET_SHIFT = 32 - Math.log2(VIEW_BUCKET_COUNT);

const CONDITION_SEVERITY: Readonly<Record<PeerCondition, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** Key of a process: successive processes may have the same id. */
export function memberKey(identity: ProxyIdentity): string {
  return `${identity.proxy}/${identity.incarnation}`;
}

function bucketOf(hash: number): number {
  return hash >>> BUCKET_SHIFT;
}

/**
 * Dead proxies are excluded because each proxy removes them at a different
 * time.
 */
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
      CONDITION_SEVERITY[update.condition] >
        CONDITION_SEVERITY[known.condition])
  );
}

/** Combines two updates; returns undefined if the new one changes nothing. */
function combine(
  known: PeerUpdate,
  update: PeerUpdate,
): PeerUpdate | undefined {
  const leaving = known.leaving || update.leaving;
  if (isNewer(update, known)) {
    return {...update, leaving};
  }
  return leaving === known.leaving ? undefined : {...known, leaving};
}

export function createMemberTable(): MemberTable {
  const entries = new Map<string, MemberEntry>();
  const buckets = new Uint32Array(VIEW_BUCKET_COUNT);
  let ring: readonly MemberEntry[] | undefined;
  let changedAt: Milliseconds = 0;

  function toggleChecksum(entry: MemberEntry): void {
    const bucket = bucketOf(entry.hash);
    buckets[bucket] = ((buckets[bucket] ?? 0) ^ checksumOf(entry)) >>> 0;
  }

  function replaceEntry(entry: MemberEntry): void {
    const previous = entries.get(entry.key);
    if (previous !== undefined) {
      toggleChecksum(previous);
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
    const combined =
      known === undefined ? update : combine(known.update, update);
    if (combined === undefined) {
      return undefined;
    }
    const hash = known?.hash ?? hashText(key);
    const entry = {key, update: combined, hash, changedAt: now};
    replaceEntry(entry);
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
    // The entries are ordered by bucket, so that repeated requests cover all
    // buckets.
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
