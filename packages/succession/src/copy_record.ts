/**
 * Records in the store which replicas hold a group's acknowledged commits. What
 * proxies have observed ends with their processes; the record tells a proxy that
 * has started since that a replica has left, or has lost its log.
 */
import type {StorePosition, TableRows} from '@kelpstep/platform';
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
   * log. Every commit acknowledged in that term has a copy on one of them, or on
   * a target that joined later.
   */
  replicas: z.array(z.object({target: z.string(), startedAt: z.number()})),
});
export type CopyRecord = z.infer<typeof copyRecordSchema>;

/** The last known record of a group. */
export interface KnownCopyRecord {
  readonly record: CopyRecord;
  /** Position of its row for conditional writes. */
  readonly position: StorePosition;
  /** When the row was first read at its position. */
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

  return {
    update(rows, {era}) {
      const next = new Map<string, KnownCopyRecord>();
      for (const [key, {value, version}] of rows) {
        const parsed = copyRecordSchema.safeParse(value);
        if (!key.startsWith(COPY_KEY_PREFIX) || !parsed.success) {
          continue;
        }
        const group = key.slice(COPY_KEY_PREFIX.length);
        const known = records.get(group);
        const isKnown =
          known?.position.era === era && known.position.version === version;
        next.set(
          group,
          isKnown
            ? known
            : {
                record: parsed.data,
                position: {era, version},
                observedAt: now(),
              },
        );
      }
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
    }))
    .sort((left, right) => (left.target < right.target ? -1 : 1));
}

function hasAllReplicas(group: TargetGroup, {replicas}: CopyRecord): boolean {
  return replicas.every(
    ({target, startedAt}) =>
      group.link(target)?.registration().startedAt === startedAt,
  );
}

/**
 * True if a commit that the primary of `term`, or by default the newest known
 * one, acknowledged may have no copy on the group's replicas: neither this proxy
 * nor the record vouches for one.
 */
export function mayLackCopies(
  group: TargetGroup,
  known: KnownCopyRecord | undefined,
  term?: number,
): boolean {
  if (!group.hasSynchronousReplicas()) {
    return false;
  }
  const {positions} = group;
  const copies = positions.copies();
  const requiredTerm = term ?? positions.leader()?.term ?? 0;
  if (copies.lackingSince === undefined) {
    return (copies.term ?? 0) < requiredTerm;
  }
  const isRecorded =
    known !== undefined &&
    known.observedAt > copies.lackingSince &&
    known.record.term >= requiredTerm &&
    hasAllReplicas(group, known.record);
  return !isRecorded;
}
