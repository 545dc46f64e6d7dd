/**
 * Keeps a group's copy record up to date: writes it once a replica has received
 * all of the primary's log after a change of the primary or of the replicas.
 */
import type {RowWriter, StorePosition} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import {
  COPY_KEY_PREFIX,
  type CopyRecord,
  type KnownCopyRecord,
  replicasOf,
} from './copy_record';

export interface CopyRecorderOptions {
  readonly runtime: Runtime;
  readonly group: TargetGroup;
  readonly rowWriter: RowWriter;
  /** Name of the table that the proxies share. */
  readonly table: string;
  /** The group's last known record. */
  record(): KnownCopyRecord | undefined;
  /** Position at which a missing row is created; undefined while unknown. */
  emptyPosition(): StorePosition | undefined;
}

/** Handle of the recording of one group. */
export interface CopyRecorder {
  stop(): void;
}

const CHECK_INTERVAL_MS: Milliseconds = 100;
/** Each proxy writes after a random delay up to this, to avoid conflicts. */
const MAXIMUM_WRITE_DELAY_MS: Milliseconds = 300;
/** Time until a written row is expected to be known to all proxies. */
const PROPAGATION_TIME_MS: Milliseconds = 500;
const RETRY_BACKOFF_MS: Milliseconds = 700;
/**
 * Time without a proof of copies after which targets are asked for their logs;
 * statements in progress usually show them earlier.
 */
const PROBE_INTERVAL_MS: Milliseconds = 500;

function isSameRecord(left: CopyRecord, right: CopyRecord): boolean {
  return (
    left.term === right.term &&
    left.primary === right.primary &&
    left.replicas.length === right.replicas.length &&
    left.replicas.every(
      ({target, startedAt}, index) =>
        right.replicas[index]?.target === target &&
        right.replicas[index]?.startedAt === startedAt,
    )
  );
}

/** Records the group's copies until `stop`. */
export function startCopyRecorder(options: CopyRecorderOptions): CopyRecorder {
  const {runtime, group, rowWriter, table} = options;
  const {timer, random} = runtime;
  let probedAt: Milliseconds = timer.now();

  /** The record of the present copies; undefined if they may be lacking. */
  function presentRecord(): CopyRecord | undefined {
    const leader = group.positions.leader();
    const {lackingSince, term} = group.positions.copies();
    if (leader === undefined || lackingSince !== undefined) {
      return undefined;
    }
    const replicas = replicasOf(group, leader.target);
    const isPresent = term === leader.term && replicas.length > 0;
    return isPresent
      ? {primary: leader.target, term: leader.term, replicas}
      : undefined;
  }

  function outdatedBy(): CopyRecord | undefined {
    const present = presentRecord();
    const known = options.record()?.record;
    // A proxy that learns of a change late must not undo what others recorded.
    const isOlder = present && known && present.term < known.term;
    const isSame = present && known && isSameRecord(present, known);
    return isOlder || isSame ? undefined : present;
  }

  /** Asks for the logs while no answer has proved that there are copies. */
  function probeIfLacking(): void {
    const isLacking = group.positions.copies().lackingSince !== undefined;
    const isDue = timer.now() - probedAt >= PROBE_INTERVAL_MS;
    if (isLacking && isDue && group.leader()?.isReached() === true) {
      probedAt = timer.now();
      group.links().forEach(link => void link.probeStatus());
    }
  }

  function* record(): Task<void> {
    for (;;) {
      yield* sleep(CHECK_INTERVAL_MS);
      if (!group.hasSynchronousReplicas()) {
        continue;
      }
      probeIfLacking();
      if (outdatedBy() === undefined) {
        continue;
      }
      yield* sleep(MAXIMUM_WRITE_DELAY_MS * random.fraction());
      const next = outdatedBy();
      const position = options.record()?.position ?? options.emptyPosition();
      if (next === undefined || position === undefined) {
        continue;
      }
      const key = COPY_KEY_PREFIX + group.group;
      const written = yield* waitFor(
        rowWriter.replaceRow(table, key, position, next),
      );
      yield* sleep(
        written.ok ? PROPAGATION_TIME_MS : random.jitter(RETRY_BACKOFF_MS, 0.5),
      );
    }
  }

  const task = runtime.spawn('copies', record());
  return {stop: task.cancel};
}
