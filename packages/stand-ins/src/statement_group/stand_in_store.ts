/** The platform's table store in virtual time, with fault injection. */
import type {
  RowTransaction,
  StoreFailure,
  StorePosition,
  StoredRow,
  TableChanges,
  TableStore,
} from '@kelpstep/platform';
import {
  type Future,
  type Milliseconds,
  type Random,
  type TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Err, Ok, type Result} from 'ts-results';

/** Injected faults of the store. */
export interface StoreFaults {
  /**
   * Clients whose calls are refused. Their pending change requests fail as
   * unanswered.
   */
  refused: Set<string> | 'all';
  /** Clients whose calls get no answer. */
  silent: Set<string> | 'all';
  /** Tables for which the `silent` clients get no answer. */
  silentTables: Set<string> | 'all';
  /** Share of writes that take effect but get no answer, 0 to 1. */
  lostAnswerShare: number;
  /** Share of writes that get no answer and take effect late, 0 to 1. */
  lateWriteShare: number;
}

/** State of a store at a moment, from which it can be restored. */
export interface StoreCopy {
  readonly version: number;
  readonly tables: ReadonlyMap<string, ReadonlyMap<string, StoredRow>>;
  readonly removed: ReadonlyMap<string, readonly StoredRow[]>;
  /** Number of outside writes that the copy includes. */
  readonly outsideWrites: number;
}

/** A table store and its test controls. */
export interface StandInStore {
  /** Number of times that the store was restored from a copy. */
  era(): number;
  /** Returns the store interface of a named client. */
  clientOf(name: string): TableStore;
  /**
   * Writes a row without a version check, which is how the operator and targets
   * write.
   */
  put(table: string, key: string, value: unknown): void;
  remove(table: string, key: string): void;
  /** Deletes the change history; older change requests fail from now on. */
  compact(): void;
  /**
   * Drops the pending change requests of a table, or of all tables by default.
   * They get no answer; later requests are not affected.
   */
  dropPendingChangeRequests(table?: string): void;
  /** Copies the current state. */
  takeCopy(): StoreCopy;
  /**
   * Returns to the state of a copy, in the next era. Pending change requests get
   * no answer. What `put` and `remove` changed since the copy is written again
   * after `rewriteDelay`; what clients wrote since is lost.
   */
  restore(copy: StoreCopy, rewriteDelay?: Milliseconds): void;
  /** Number of calls so far, including refused ones. */
  calls(): number;
  readonly faults: StoreFaults;
}

/** Timer, randomness and answer time of a store. */
export interface StandInStoreOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Time between a call and its answer. */
  readonly answerTime: Milliseconds;
}

/** Maximum delay of a late write. */
const MAXIMUM_WRITE_DELAY_MS: Milliseconds = 6000;
/** Time after a restore until lost writes from outside are repeated. */
const DEFAULT_REWRITE_DELAY_MS: Milliseconds = 500;
/** Time after which an unanswered call fails. */
const CALL_TIMEOUT_MS: Milliseconds = 1200;
/** Time after which an unanswered change request fails, added to its wait. */
const CHANGE_REQUEST_GRACE_MS: Milliseconds = 700;

/** A write by the operator or a target. */
interface OutsideWrite {
  readonly table: string;
  readonly key: string;
  run(): void;
}

/** A request for changes that is waiting for an answer. */
interface ChangeRequest {
  readonly table: string;
  /** Answers if there are changes, the request fails or its wait is over. */
  answerIfReady(): void;
}

/** Creates an empty store. */
export function createStandInStore(options: StandInStoreOptions): StandInStore {
  const {timer, random, answerTime} = options;
  const tables = new Map<string, Map<string, StoredRow>>();
  const removed = new Map<string, StoredRow[]>();
  const faults: StoreFaults = {
    refused: new Set(),
    silent: new Set(),
    silentTables: 'all',
    lostAnswerShare: 0,
    lateWriteShare: 0,
  };
  /** Writes of the operator and of targets, which repeat them if lost. */
  const outsideWrites: OutsideWrite[] = [];
  let calls = 0;
  let era = 0;
  let version = 0;
  let historyStart = 0;
  const pendingRequests = new Set<ChangeRequest>();

  function tableOf(name: string): Map<string, StoredRow> {
    const table = tables.get(name) ?? new Map<string, StoredRow>();
    tables.set(name, table);
    return table;
  }

  function answerReadyRequests(): void {
    [...pendingRequests].forEach(({answerIfReady}) => answerIfReady());
  }

  function setRow(table: string, key: string, value: unknown): void {
    tableOf(table).set(key, {key, value, version, isRemoved: false});
  }

  function put(table: string, key: string, value: unknown): void {
    version += 1;
    setRow(table, key, value);
    answerReadyRequests();
  }

  function remove(table: string, key: string): void {
    version += 1;
    tableOf(table).delete(key);
    const row = {key, value: undefined, version, isRemoved: true};
    removed.set(table, [...(removed.get(table) ?? []), row]);
    answerReadyRequests();
  }

  function includesName(names: Set<string> | 'all', name: string): boolean {
    return names === 'all' || names.has(name);
  }

  function isSilentTo(client: string, table: string): boolean {
    return (
      includesName(faults.silent, client) &&
      includesName(faults.silentTables, table)
    );
  }

  function changesAfter(table: string, after: number): StoredRow[] {
    return [...tableOf(table).values(), ...(removed.get(table) ?? [])]
      .filter(row => row.version > after)
      .sort((left, right) => left.version - right.version);
  }

  function clientOf(name: string): TableStore {
    /** Answers after `answerTime`, unless a fault prevents it. */
    function call<T>(
      table: string,
      answer: (settle: (reply: Result<T, StoreFailure>) => void) => void,
    ): Future<Result<T, StoreFailure>> {
      const result = createDeferred<Result<T, StoreFailure>>();
      calls += 1;
      timer.after(answerTime, () => {
        if (isSilentTo(name, table)) {
          timer.after(CALL_TIMEOUT_MS, () => result.settle(Err('unanswered')));
        } else if (includesName(faults.refused, name)) {
          result.settle(Err('refused'));
        } else {
          answer(result.settle);
        }
      });
      return result.future;
    }

    /**
     * Waits for changes. A request that arrives while the store doesn't answer
     * is lost. A pending one is answered after the store answers again.
     */
    function awaitChanges(
      table: string,
      after: number,
      wait: Milliseconds,
    ): Future<Result<TableChanges, StoreFailure>> {
      const result = createDeferred<Result<TableChanges, StoreFailure>>();
      const isSilent = () => isSilentTo(name, table);
      let isWaitOver = false;
      calls += 1;

      function end(reply: Result<TableChanges, StoreFailure>): void {
        pendingRequests.delete(request);
        cancelTimeout();
        result.settle(reply);
      }

      function answerIfReady(): void {
        if (isSilent()) {
          return;
        }
        if (after < historyStart || after > version) {
          end(Err('history lost'));
        } else if (includesName(faults.refused, name)) {
          end(Err('unanswered'));
        } else {
          const rows = changesAfter(table, after);
          if (rows.length > 0 || isWaitOver) {
            end(Ok({rows, era, version}));
          }
        }
      }

      function endWait(): void {
        isWaitOver = true;
        answerIfReady();
      }

      const request: ChangeRequest = {table, answerIfReady};
      const cancelTimeout = timer.after(wait + CHANGE_REQUEST_GRACE_MS, () =>
        end(Err('unanswered')),
      );
      timer.after(answerTime, () => {
        if (includesName(faults.refused, name)) {
          end(Err('refused'));
        } else if (!isSilent()) {
          pendingRequests.add(request);
          timer.after(wait, endWait);
          answerIfReady();
        }
      });
      return result.future;
    }

    function applyTransaction({
      preconditions,
      puts,
    }: RowTransaction): Result<StorePosition, StoreFailure> {
      const holds = preconditions.every(
        row => (tableOf(row.table).get(row.key)?.version ?? 0) === row.version,
      );
      if (!holds) {
        return Err('conflict');
      }
      version += 1;
      puts.forEach(row => setRow(row.table, row.key, row.value));
      answerReadyRequests();
      return Ok({era, version});
    }

    return {
      readTable: table =>
        call(table, settle =>
          settle(Ok({rows: [...tableOf(table).values()], era, version})),
        ),
      awaitChanges,
      transact: transaction =>
        call(transaction.puts[0]?.table ?? '', settle => {
          if (random.fraction() < faults.lateWriteShare) {
            const delay = MAXIMUM_WRITE_DELAY_MS * random.fraction();
            timer.after(delay, () => applyTransaction(transaction));
            timer.after(CALL_TIMEOUT_MS, () => settle(Err('unanswered')));
            return;
          }
          const reply = applyTransaction(transaction);
          if (random.fraction() < faults.lostAnswerShare) {
            timer.after(CALL_TIMEOUT_MS, () => settle(Err('unanswered')));
          } else {
            settle(reply);
          }
        }),
    };
  }

  function writeFromOutside(write: OutsideWrite): void {
    outsideWrites.push(write);
    write.run();
  }

  /** Repeats lost writes, unless the row was written again since. */
  function repeatWrites(lost: readonly OutsideWrite[], since: number): void {
    const recent = outsideWrites.slice(since);
    const isOutdated = ({table, key}: OutsideWrite) =>
      recent.some(write => write.table === table && write.key === key);
    lost.filter(write => !isOutdated(write)).forEach(writeFromOutside);
  }

  function restore(copy: StoreCopy, rewriteDelay: Milliseconds): void {
    era += 1;
    version = copy.version;
    tables.clear();
    copy.tables.forEach((rows, name) => tables.set(name, new Map(rows)));
    removed.clear();
    copy.removed.forEach((rows, name) => removed.set(name, [...rows]));
    pendingRequests.clear();
    const since = copy.outsideWrites;
    const lost = outsideWrites.splice(since);
    timer.after(rewriteDelay, () => repeatWrites(lost, since));
  }

  return {
    era: () => era,
    clientOf,
    put: (table, key, value) =>
      writeFromOutside({table, key, run: () => put(table, key, value)}),
    remove: (table, key) =>
      writeFromOutside({table, key, run: () => remove(table, key)}),
    takeCopy: () => ({
      version,
      tables: new Map([...tables].map(([name, rows]) => [name, new Map(rows)])),
      removed: new Map(removed),
      outsideWrites: outsideWrites.length,
    }),
    restore: (copy, rewriteDelay = DEFAULT_REWRITE_DELAY_MS) =>
      restore(copy, rewriteDelay),
    compact() {
      historyStart = version;
      removed.clear();
      answerReadyRequests();
    },
    dropPendingChangeRequests(table) {
      for (const request of pendingRequests) {
        if (table === undefined || request.table === table) {
          pendingRequests.delete(request);
        }
      }
    },
    calls: () => calls,
    faults,
  };
}
