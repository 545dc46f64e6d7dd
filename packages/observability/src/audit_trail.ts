/**
 * The audit trail, stored in the platform's table service. Entries are buffered
 * in memory, up to a limit while the platform is unavailable, and written in
 * batches of one row each to keep the number of writes low.
 */
import type {PlatformClient, PlatformReply} from '@kelpstep/platform';
import {ListedRow, TABLES} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  createDeferred,
  createMailbox,
  mapFuture,
  receive,
  settledFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {z} from 'zod';

/** A change: who changed what, with the old and the new value. */
export const auditChangeSchema = z.strictObject({
  /** The operator, or the component of the proxy that made the change. */
  who: z.string(),
  /** What was changed, for example `manifest` or `primary of handbook-1`. */
  what: z.string(),
  from: z.string(),
  to: z.string(),
  outcome: z.string(),
});
export type AuditChange = z.infer<typeof auditChangeSchema>;

/** A change with its time and the proxy that recorded it. */
export const auditEntrySchema = z.strictObject({
  ...auditChangeSchema.shape,
  /** Wall clock, milliseconds since 1970. */
  when: z.number(),
  proxy: z.string(),
});
export type AuditEntry = z.infer<typeof auditEntrySchema>;

/** Value of a row of the audit table. */
const auditBatchSchema = z.strictObject({
  entries: z.array(auditEntrySchema),
  /** Number of entries that this proxy dropped before these. */
  dropped: z.number().int().nonnegative(),
});

/** A page of entries. */
export const auditPageSchema = z.strictObject({
  entries: z.array(auditEntrySchema),
  /** Number of entries that proxies dropped during platform outages. */
  dropped: z.number().int().nonnegative(),
  /** Value of `after` for the next page; absent on the last page. */
  next: z.string().optional(),
});
export type AuditPage = z.infer<typeof auditPageSchema>;

/** Records and lists changes. */
export interface AuditTrail {
  /** Records a change without waiting for the platform. */
  record(change: AuditChange): void;
  /** Number of entries that are not stored yet. */
  pending(): number;
  /** Number of entries dropped because the buffer was full. */
  dropped(): number;
  /** Settles when all pending entries are stored. */
  flushed(): Future<undefined>;
  /** Lists rows after a key, which is a page's `next` or from `auditKeyAt`. */
  list(after: string, limit: number): PlatformReply<AuditPage>;
}

/**
 * `proxy` and `incarnation` are part of the row keys, which makes them unique.
 */
export interface AuditTrailOptions {
  readonly platform: PlatformClient;
  readonly runtime: Runtime;
  /** Proxy id. */
  readonly proxy: string;
  /** Distinguishes processes that have used the same proxy id. */
  readonly incarnation: string;
  /** Maximum number of buffered entries, besides the batch being written. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 1000;
const BATCH_SIZE = 50;
const BATCH_DELAY_MS: Milliseconds = 200;
const INITIAL_RETRY_DELAY_MS: Milliseconds = 500;
const MAXIMUM_RETRY_DELAY_MS: Milliseconds = 10_000;
const RETRY_JITTER_RATIO = 0.3;
const TIMESTAMP_DIGITS = 15;

/** Returns the key before all entries stored at or after a wall-clock time. */
export function auditKeyAt(wallClock: Milliseconds): string {
  return String(Math.max(0, Math.floor(wallClock))).padStart(
    TIMESTAMP_DIGITS,
    '0',
  );
}

function createPage(rows: readonly ListedRow[], limit: number): AuditPage {
  // Skips rows of another format, so that an invalid row does not hide others.
  const batches = rows
    .map(row => auditBatchSchema.safeParse(row.value))
    .filter(batch => batch.success)
    .map(batch => batch.data);
  const last = rows.at(-1);
  return {
    entries: batches.flatMap(batch => batch.entries),
    dropped: batches.reduce((sum, batch) => sum + batch.dropped, 0),
    ...(last !== undefined && rows.length === limit ? {next: last.key} : {}),
  };
}

/** Creates an audit trail and starts the task that stores entries. */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  const {platform, runtime, proxy, incarnation} = options;
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const {timer} = runtime;
  const wakeSignal = createMailbox<undefined>();
  const pendingEntries: AuditEntry[] = [];
  let storingCount = 0;
  let droppedCount = 0;
  let unreportedDroppedCount = 0;
  let rowsWritten = 0;
  let idle = createDeferred<undefined>();

  function record(change: AuditChange): void {
    if (pendingEntries.length >= capacity) {
      pendingEntries.shift();
      droppedCount++;
      unreportedDroppedCount++;
    }
    pendingEntries.push({...change, when: timer.wallClock(), proxy});
    if (wakeSignal.size() === 0) {
      wakeSignal.post(undefined);
    }
  }

  function nextKey(): string {
    rowsWritten++;
    const order = String(rowsWritten).padStart(6, '0');
    return `${auditKeyAt(timer.wallClock())}-${proxy}-${incarnation}-${order}`;
  }

  /** Keys are unique, so a conflict shows that an earlier attempt succeeded. */
  function* storeBatch(entries: readonly AuditEntry[]): Task<void> {
    const key = nextKey();
    const dropped = unreportedDroppedCount;
    unreportedDroppedCount = 0;
    let retryDelay = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      const written = yield* waitFor(
        platform.writeRow(TABLES.audit, key, 0, {entries, dropped}),
      );
      if (written.ok || written.val.name === 'VERSION_CONFLICT') {
        return;
      }
      yield* sleep(runtime.random.jitter(retryDelay, RETRY_JITTER_RATIO));
      retryDelay = Math.min(2 * retryDelay, MAXIMUM_RETRY_DELAY_MS);
    }
  }

  function* storeEntries(): Task<void> {
    for (;;) {
      yield* receive(wakeSignal);
      yield* sleep(BATCH_DELAY_MS);
      while (pendingEntries.length > 0) {
        const batch = pendingEntries.splice(0, BATCH_SIZE);
        storingCount = batch.length;
        yield* storeBatch(batch);
        storingCount = 0;
      }
      const previousIdle = idle;
      idle = createDeferred();
      previousIdle.settle(undefined);
    }
  }

  runtime.spawn('audit-trail', storeEntries());

  const pending = () => pendingEntries.length + storingCount;
  return {
    record,
    pending,
    dropped: () => droppedCount,
    flushed: () => (pending() === 0 ? settledFuture(undefined) : idle.future),
    list: (after, limit) =>
      mapFuture(platform.listRows(TABLES.audit, after, limit), listed =>
        listed.map(rows => createPage(rows, limit)),
      ),
  };
}
