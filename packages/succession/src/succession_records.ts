/**
 * The groups' last known successions. A store that is restored from a copy may
 * lack the newest rows; they stay in force here and are written again, as a
 * promotion that they record may still take effect.
 */
import {
  type RowWriter,
  type StorePosition,
  type TableRows,
  compareStorePositions,
} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

import {
  SUCCESSION_KEY_PREFIX,
  type Succession,
  type SuccessionPhase,
  successionSchema,
} from './succession_row';

/** A succession, and the position of its row for conditional writes. */
export interface VersionedSuccession {
  readonly succession: Succession;
  /** Version 0: the store has no row of the group. */
  readonly position: StorePosition;
}

/** The last known succession of a group. */
export interface KnownSuccession extends VersionedSuccession {
  /** When the row was first read at its position. */
  readonly observedAt: Milliseconds;
  /** True if the store has lost it. */
  readonly isLost: boolean;
}

export interface SuccessionRecordsOptions {
  readonly runtime: Runtime;
  /** Id of this proxy. */
  readonly self: string;
  readonly rowWriter: RowWriter;
  readonly table: string;
  /** Called when the succession of a group, or its position, has changed. */
  onChange(group: string, succession: Succession): void;
}

export interface SuccessionRecords {
  /** Applies all rows of the table. */
  update(rows: TableRows, position: StorePosition): void;
  get(group: string): KnownSuccession | undefined;
  /** Era of the rows; 0 without rows. */
  era(): number;
  /** When the era was first seen; -Infinity for the first one. */
  eraSeenAt(): Milliseconds;
}

/** Proxies other than the holder wait up to this before they write a row. */
const RESTORE_SPREAD_MS: Milliseconds = 800;

const RESTORE_RETRY_DELAY_MS: Milliseconds = 500;

const PHASE_RANK: Record<SuccessionPhase, number> = {
  stopping: 0,
  ordered: 1,
  abandoned: 2,
  done: 2,
};

/** True if `left` was written after `right`. */
function isLater(left: Succession, right: Succession): boolean {
  const difference =
    left.epoch - right.epoch ||
    PHASE_RANK[left.phase] - PHASE_RANK[right.phase];
  return difference > 0;
}

/** Creates records without any succession. */
export function createSuccessionRecords(
  options: SuccessionRecordsOptions,
): SuccessionRecords {
  const {runtime, self, rowWriter, table} = options;
  const {timer, random} = runtime;
  const records = new Map<string, KnownSuccession>();
  let era: number | undefined;
  let eraSeenAt: Milliseconds = -Infinity;

  /** Writes a lost row again, unless another proxy does so first. */
  function* restore(group: string, lost: KnownSuccession): Task<void> {
    if (lost.succession.holder !== self) {
      yield* sleep(RESTORE_SPREAD_MS * random.fraction());
    }
    while (records.get(group) === lost) {
      const key = SUCCESSION_KEY_PREFIX + group;
      const written = yield* waitFor(
        rowWriter.replaceRow(table, key, lost.position, lost.succession),
      );
      if (written.ok || written.val === 'conflict') {
        return;
      }
      yield* sleep(random.jitter(RESTORE_RETRY_DELAY_MS, 0.5));
    }
  }

  function record(
    group: string,
    succession: Succession,
    position: StorePosition,
  ): void {
    const known = records.get(group);
    if (known && compareStorePositions(known.position, position) === 0) {
      return;
    }
    // Within an era a row is never older than the one before.
    const isLost =
      known !== undefined &&
      (known.isLost || known.position.era < position.era) &&
      isLater(known.succession, succession);
    keep(group, isLost ? known.succession : succession, position, isLost);
  }

  function keep(
    group: string,
    succession: Succession,
    position: StorePosition,
    isLost: boolean,
  ): void {
    const known = {succession, position, isLost, observedAt: timer.now()};
    records.set(group, known);
    if (isLost) {
      runtime.spawn(`restore succession of ${group}`, restore(group, known));
    }
    options.onChange(group, succession);
  }

  /** Keeps the successions whose rows the restored store lacks. */
  function keepMissing(rows: TableRows, newEra: number): void {
    for (const [group, {succession, position}] of records) {
      const isMissing = !rows.has(SUCCESSION_KEY_PREFIX + group);
      if (isMissing && position.era < newEra) {
        keep(group, succession, {era: newEra, version: 0}, true);
      }
    }
  }

  return {
    update(rows, position) {
      if (era !== undefined && position.era > era) {
        eraSeenAt = timer.now();
      }
      era = position.era;
      for (const [key, {value, version}] of rows) {
        if (!key.startsWith(SUCCESSION_KEY_PREFIX)) {
          continue;
        }
        const parsed = successionSchema.safeParse(value);
        if (parsed.success) {
          const group = key.slice(SUCCESSION_KEY_PREFIX.length);
          record(group, parsed.data, {era, version});
        }
      }
      keepMissing(rows, era);
    },
    get: group => records.get(group),
    era: () => era ?? 0,
    eraSeenAt: () => eraSeenAt,
  };
}
