/**
 * The trail of changes, kept in the platform's table service. Entries wait in
 * memory while the platform is out, up to a bound; they leave in batches, one
 * row a batch, so that the platform gets few writes.
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

/** A change: who changed what, from which value to which. */
export const auditChangeSchema = z.strictObject({
  /** Operator, or the proxy's part that decided. */
  who: z.string(),
  /** For example `manifest` or `primary of handbook-1`. */
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

/** A row of the audit table. */
const auditBatchSchema = z.strictObject({
  entries: z.array(auditEntrySchema),
  /** Entries that this proxy had to drop before these. */
  dropped: z.number().int().nonnegative(),
});

/** Some entries, and where to go on. */
export const auditPageSchema = z.strictObject({
  entries: z.array(auditEntrySchema),
  /** Entries that proxies dropped while the platform was out. */
  dropped: z.number().int().nonnegative(),
  /** Pass as `after` to read on; absent at the end. */
  next: z.string().optional(),
});
export type AuditPage = z.infer<typeof auditPageSchema>;

/** Records and reads changes. */
export interface AuditTrail {
  /** Records a change; never waits. */
  record(change: AuditChange): void;
  /** Entries that are not in the platform yet. */
  pending(): number;
  /** Entries given up because too many waited. */
  dropped(): number;
  /** Settles when nothing is pending any more. */
  flushed(): Future<undefined>;
  /** Reads rows after a key (a page's `next`, or `auditKeyAt`). */
  list(after: string, limit: number): PlatformReply<AuditPage>;
}

/** What an audit trail is made of. */
export interface AuditTrailOptions {
  readonly platform: PlatformClient;
  readonly runtime: Runtime;
  /** Proxy id. */
  readonly proxy: string;
  /** Tells two processes of the same proxy id apart. */
  readonly incarnation: string;
  /** Entries kept while the platform is out. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 1000;
const BATCH_SIZE = 50;
const BATCH_DELAY: Milliseconds = 200;
const FIRST_RETRY_DELAY: Milliseconds = 500;
const LONGEST_RETRY_DELAY: Milliseconds = 10_000;
const RETRY_JITTER = 0.3;
const TIME_DIGITS = 15;

/** The key before all entries that were stored at or after a wall clock. */
export function auditKeyAt(wallClock: Milliseconds): string {
  return String(Math.max(0, Math.floor(wallClock))).padStart(TIME_DIGITS, '0');
}

function pageOf(rows: readonly ListedRow[], limit: number): AuditPage {
  // A row of another format is left out: one bad row must not hide the rest.
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
  const wake = createMailbox<undefined>();
  const waiting: AuditEntry[] = [];
  let storing = 0;
  let droppedEntries = 0;
  let droppedUnreported = 0;
  let rowsWritten = 0;
  let idle = createDeferred<undefined>();

  function record(change: AuditChange): void {
    if (waiting.length >= capacity) {
      waiting.shift();
      droppedEntries++;
      droppedUnreported++;
    }
    waiting.push({...change, when: timer.wallClock(), proxy});
    if (wake.size() === 0) {
      wake.post(undefined);
    }
  }

  function nextKey(): string {
    rowsWritten++;
    const order = String(rowsWritten).padStart(6, '0');
    return `${auditKeyAt(timer.wallClock())}-${proxy}-${incarnation}-${order}`;
  }

  /** A conflict means that an earlier attempt took effect: keys are unique. */
  function* storeBatch(entries: readonly AuditEntry[]): Task<void> {
    const key = nextKey();
    const dropped = droppedUnreported;
    droppedUnreported = 0;
    let retryDelay = FIRST_RETRY_DELAY;
    for (;;) {
      const written = yield* waitFor(
        platform.writeRow(TABLES.audit, key, 0, {entries, dropped}),
      );
      if (written.ok || written.val.name === 'VERSION_CONFLICT') {
        return;
      }
      yield* sleep(runtime.random.jitter(retryDelay, RETRY_JITTER));
      retryDelay = Math.min(2 * retryDelay, LONGEST_RETRY_DELAY);
    }
  }

  function* storeEntries(): Task<void> {
    for (;;) {
      yield* receive(wake);
      yield* sleep(BATCH_DELAY);
      while (waiting.length > 0) {
        const batch = waiting.splice(0, BATCH_SIZE);
        storing = batch.length;
        yield* storeBatch(batch);
        storing = 0;
      }
      const stored = idle;
      idle = createDeferred();
      stored.settle(undefined);
    }
  }

  runtime.spawn('audit-trail', storeEntries());

  const pending = () => waiting.length + storing;
  return {
    record,
    pending,
    dropped: () => droppedEntries,
    flushed: () => (pending() === 0 ? settledFuture(undefined) : idle.future),
    list: (after, limit) =>
      mapFuture(platform.listRows(TABLES.audit, after, limit), listed =>
        listed.map(rows => pageOf(rows, limit)),
      ),
  };
}
