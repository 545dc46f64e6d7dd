/**
 * Records in the store which replicas hold a group's acknowledged commits. What
 * proxies have observed ends with their processes; the record tells a proxy that
 * has started since that a replica has left, or has lost its log.
 */
import type {StorePosition, StoredRow, TableRows} from '@kelpstep/platform';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';
import {z} from 'zod';

/** Prefix of the row keys, which is followed by the name of the group. */
export const COPY_KEY_PREFIX = 'copies/';

/** Value of a group's row. */
export const copyRecordSchema = z.object({
  /** Target that led when the logs were compared. */
  primary: z.string(),
  /** Term in which it led. */
  term: z.number().int().nonnegative(),
  /**
   * Replicas of the group when one of them had received all of the primary's
   * log, and those that a proxy knew before and that may still run. Every commit
   * acknowledged in that term has a copy on one of them, or on a target that
   * joined later.
   */
  replicas: z.array(z.object({target: z.string(), startedAt: z.number()})),
});
export type CopyRecord = z.infer<typeof copyRecordSchema>;
export type RecordedReplica = CopyRecord['replicas'][number];

/** The last known record of a group. */
export interface KnownCopyRecord {
  readonly record: CopyRecord;
  /** Position of its row for conditional writes. */
  readonly position: StorePosition;
  /**
   * When the row was first read at its position; -Infinity for a row of a store
   * that was restored from a copy.
   */
  readonly observedAt: Milliseconds;
}

export interface CopyRecords {
  /** Applies all rows of the table. */
  update(rows: TableRows, position: StorePosition): void;
  get(group: string): KnownCopyRecord | undefined;
}

/** Creates records without any row. */
export function createCopyRecords({
  now,
}: Pick<TimerService, 'now'>): CopyRecords {
  let records = new Map<string, KnownCopyRecord>();
  let newestEra: number | undefined;

  function read(
    {value, version}: StoredRow,
    era: number,
    known: KnownCopyRecord | undefined,
  ): KnownCopyRecord | undefined {
    if (known?.position.era === era && known.position.version === version) {
      return known;
    }
    const parsed = copyRecordSchema.safeParse(value);
    // A restored store holds rows that are older than losses seen since.
    const isRestored = newestEra !== undefined && era > newestEra;
    return parsed.success
      ? {
          record: parsed.data,
          position: {era, version},
          observedAt: isRestored ? -Infinity : now(),
        }
      : undefined;
  }

  return {
    update(rows, {era}) {
      const next = new Map<string, KnownCopyRecord>();
      for (const [key, row] of rows) {
        if (!key.startsWith(COPY_KEY_PREFIX)) {
          continue;
        }
        const group = key.slice(COPY_KEY_PREFIX.length);
        const known = read(row, era, records.get(group));
        if (known !== undefined) {
          next.set(group, known);
        }
      }
      newestEra = era;
      records = next;
    },
    get: group => records.get(group),
  };
}

/** The replicas of a group, if `primary` leads it. */
export function replicasOf(
  group: TargetGroup,
  primary: string,
): CopyRecord['replicas'] {
  return group
    .links()
    .filter(({target}) => target !== primary)
    .map(link => ({
      target: link.target,
      startedAt: link.registration().startedAt,
    }));
}

/** True if this start of the replica is a member of the group. */
export function isMember(
  group: TargetGroup,
  {target, startedAt}: RecordedReplica,
): boolean {
  return group.link(target)?.registration().startedAt === startedAt;
}

/** True if a proxy has recorded a replica that this one has never listed. */
function hasUnknownReplica(
  group: TargetGroup,
  {replicas}: CopyRecord,
): boolean {
  return replicas.some(
    replica =>
      !isMember(group, replica) &&
      group.departure(replica.target, replica.startedAt) === undefined,
  );
}

/**
 * Time within which a target that joins is listed. A proxy that has started
 * relies on a record only after it: a target that had joined before may have
 * received commits that no one else remembers.
 */
const LISTING_TIME_MS: Milliseconds = 2000;

/** What is known of a group's copies. */
export interface CopyKnowledge {
  readonly group: TargetGroup;
  readonly known: KnownCopyRecord | undefined;
  /** The present monotonic time. */
  readonly now: Milliseconds;
}

/**
 * True if a commit that the primary of `term`, or by default the newest known
 * one, acknowledged may have no copy on the group's replicas: neither this proxy
 * nor the record vouches for one.
 */
export function mayLackCopies(
  {group, known, now}: CopyKnowledge,
  term?: number,
): boolean {
  if (!group.hasSynchronousReplicas()) {
    return false;
  }
  const {lackingSince, ...copies} = group.positions.copies();
  const requiredTerm = term ?? group.positions.leader()?.term ?? 0;
  const record =
    known !== undefined && known.record.term >= requiredTerm
      ? known.record
      : undefined;
  if (lackingSince === undefined && (copies.term ?? 0) >= requiredTerm) {
    return record !== undefined && hasUnknownReplica(group, record);
  }
  // A loss that this proxy has seen in the same term is not in the record for
  // sure: the proxy that wrote it may have listed fewer targets.
  const isLater = (record?.term ?? 0) > (copies.term ?? 0);
  const readAt = known?.observedAt ?? -Infinity;
  const isRecorded =
    record !== undefined &&
    (isLater || lackingSince === -Infinity) &&
    readAt > (lackingSince ?? -Infinity) &&
    now - Math.max(readAt, copies.observedFrom) >= LISTING_TIME_MS &&
    record.replicas.every(replica => isMember(group, replica));
  return !isRecorded;
}
