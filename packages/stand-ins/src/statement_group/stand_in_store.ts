/** The platform's table store in virtual time, with its faults. */
import type {
  StoreFailure,
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

/** What may go wrong at the store. */
export interface StoreFaults {
  /** Clients that are refused, or all. */
  refused: Set<string> | 'all';
  /** Clients that get no answer at all. */
  silent: Set<string> | 'all';
  /** Tables about which those get no answer. */
  silentTables: Set<string> | 'all';
  /** Share of writes that are done and not answered. */
  lostAnswers: number;
  /** Share of writes that are not answered and done this much later. */
  lateWrites: number;
}

/** A store with what a test may do to it. */
export interface StandInStore {
  /** The store as a client sees it. */
  clientOf(name: string): TableStore;
  /** Writes without conditions, as the operator and targets do. */
  put(table: string, key: string, value: unknown): void;
  remove(table: string, key: string): void;
  /** Forgets the history of changes. */
  compact(): void;
  /**
   * The connections of questions that are open now fall silent: none of them is
   * answered. New questions are. All tables if none is named.
   */
  loseOpenQuestions(table?: string): void;
  /** Calls so far, refused ones too. */
  calls(): number;
  readonly faults: StoreFaults;
}

/** How a store behaves. */
export interface StandInStoreOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly answerTime: Milliseconds;
}

/** Longest time after which a write without an answer is done. */
const LONGEST_DELAY: Milliseconds = 6000;
/** Time after which a client gives up a call. */
const SILENCE_TIMEOUT: Milliseconds = 1200;
/** The same for a question, beyond the wait that it asked for. */
const QUESTION_SLACK: Milliseconds = 700;

/** A question for changes that isn't answered yet. */
interface OpenQuestion {
  readonly table: string;
  /** Answers if there is something to tell, or the wait is over. */
  look(): void;
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
    lostAnswers: 0,
    lateWrites: 0,
  };
  let calls = 0;
  let version = 0;
  let historyFrom = 0;
  const questions = new Set<OpenQuestion>();

  function tableOf(name: string): Map<string, StoredRow> {
    const table = tables.get(name) ?? new Map<string, StoredRow>();
    tables.set(name, table);
    return table;
  }

  function changed(): void {
    [...questions].forEach(({look}) => look());
  }

  function put(table: string, key: string, value: unknown): number {
    version += 1;
    tableOf(table).set(key, {key, value, version, isRemoved: false});
    changed();
    return version;
  }

  function remove(table: string, key: string): void {
    version += 1;
    tableOf(table).delete(key);
    const row = {key, value: undefined, version, isRemoved: true};
    removed.set(table, [...(removed.get(table) ?? []), row]);
    changed();
  }

  function hits(names: Set<string> | 'all', name: string): boolean {
    return names === 'all' || names.has(name);
  }

  function isSilentTo(client: string, table: string): boolean {
    return hits(faults.silent, client) && hits(faults.silentTables, table);
  }

  function changesAfter(table: string, after: number): StoredRow[] {
    return [...tableOf(table).values(), ...(removed.get(table) ?? [])]
      .filter(row => row.version > after)
      .sort((left, right) => left.version - right.version);
  }

  function clientOf(name: string): TableStore {
    /** Answers after the store's time, unless the store is away. */
    function call<T>(
      table: string,
      answer: (settle: (reply: Result<T, StoreFailure>) => void) => void,
    ): Future<Result<T, StoreFailure>> {
      const result = createDeferred<Result<T, StoreFailure>>();
      calls += 1;
      timer.after(answerTime, () => {
        if (isSilentTo(name, table)) {
          timer.after(SILENCE_TIMEOUT, () => result.settle(Err('unanswered')));
        } else if (hits(faults.refused, name)) {
          result.settle(Err('refused'));
        } else {
          answer(result.settle);
        }
      });
      return result.future;
    }

    /**
     * Asked while the store is silent, a question is lost. One that is open then
     * is answered once the silence ends.
     */
    function ask(
      table: string,
      after: number,
      wait: Milliseconds,
    ): Future<Result<TableChanges, StoreFailure>> {
      const result = createDeferred<Result<TableChanges, StoreFailure>>();
      const isSilent = () => isSilentTo(name, table);
      let isWaitOver = false;
      calls += 1;

      function end(reply: Result<TableChanges, StoreFailure>): void {
        questions.delete(question);
        cancelTimeout();
        result.settle(reply);
      }

      function look(): void {
        if (isSilent()) {
          return;
        }
        if (after < historyFrom) {
          end(Err('history lost'));
        } else if (hits(faults.refused, name)) {
          end(Err('unanswered'));
        } else {
          const rows = changesAfter(table, after);
          if (rows.length > 0 || isWaitOver) {
            end(Ok({rows, version}));
          }
        }
      }

      function endWait(): void {
        isWaitOver = true;
        look();
      }

      const question: OpenQuestion = {table, look};
      const cancelTimeout = timer.after(wait + QUESTION_SLACK, () =>
        end(Err('unanswered')),
      );
      timer.after(answerTime, () => {
        if (hits(faults.refused, name)) {
          end(Err('refused'));
        } else if (!isSilent()) {
          questions.add(question);
          timer.after(wait, endWait);
          look();
        }
      });
      return result.future;
    }

    function replace(
      table: string,
      key: string,
      expected: number,
      value: unknown,
    ): Result<number, StoreFailure> {
      const current = tableOf(table).get(key)?.version ?? 0;
      return current === expected
        ? Ok(put(table, key, value))
        : Err('conflict');
    }

    return {
      readTable: table =>
        call(table, settle =>
          settle(Ok({rows: [...tableOf(table).values()], version})),
        ),
      awaitChanges: ask,
      replaceRow: (table, key, expected, value) =>
        call(table, settle => {
          if (random.fraction() < faults.lateWrites) {
            const delay = LONGEST_DELAY * random.fraction();
            timer.after(delay, () => replace(table, key, expected, value));
            timer.after(SILENCE_TIMEOUT, () => settle(Err('unanswered')));
            return;
          }
          const reply = replace(table, key, expected, value);
          if (random.fraction() < faults.lostAnswers) {
            timer.after(SILENCE_TIMEOUT, () => settle(Err('unanswered')));
          } else {
            settle(reply);
          }
        }),
    };
  }

  return {
    clientOf,
    put: (table, key, value) => void put(table, key, value),
    remove,
    compact() {
      historyFrom = version;
      removed.clear();
      changed();
    },
    loseOpenQuestions(table) {
      for (const question of questions) {
        if (table === undefined || question.table === table) {
          questions.delete(question);
        }
      }
    },
    calls: () => calls,
    faults,
  };
}
