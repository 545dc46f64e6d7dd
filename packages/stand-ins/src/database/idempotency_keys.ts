/** The idempotency keys that a database has recorded with its data. */
import {
  Failure,
  IdempotencyKey,
  LogPosition,
  LogRecord,
  Rows,
  Statement,
  createFailure,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import {createHash} from 'node:crypto';

/** What is recorded with a key. */
export interface RecordedKey {
  /** Digest of the statements that ran with it. */
  readonly digest: string;
  readonly issuedAt: Milliseconds;
  readonly cancelled: boolean;
  readonly rows: Rows;
  readonly at: LogPosition;
}

/** Limits that depend on this target's wall clock. */
export interface KeyLimits {
  readonly keyRetention: Milliseconds;
  readonly maximumClockSkew: Milliseconds;
}

/** The recorded keys. */
export interface IdempotencyKeys {
  find(key: IdempotencyKey): RecordedKey | undefined;
  /** Why a key that is not recorded may not be used, if so. */
  findFault(key: IdempotencyKey): Failure | undefined;
  /** Records the key of a log record. */
  record(record: LogRecord): void;
  clear(): void;
}

/**
 * Keys are forgotten only at this multiple of their retention. Up to then a
 * key that is not found is known not to have run.
 */
const FORGET_FACTOR = 2;

/** Digest of the statements that a key stands for. */
export function digestStatements(statements: readonly Statement[]): string {
  const content = statements.map(({text, parameters}) => [text, parameters]);
  return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}

/** Creates an empty record of keys. */
export function createIdempotencyKeys(
  wallClock: () => Milliseconds,
  limits: () => KeyLimits,
): IdempotencyKeys {
  const recorded = new Map<string, RecordedKey>();

  function ageOf(issuedAt: Milliseconds): Milliseconds {
    return wallClock() - issuedAt;
  }

  function isForgotten(issuedAt: Milliseconds): boolean {
    return ageOf(issuedAt) > FORGET_FACTOR * limits().keyRetention;
  }

  function findFault(key: IdempotencyKey): Failure | undefined {
    const {keyRetention, maximumClockSkew} = limits();
    const age = ageOf(key.issuedAt);
    if (age < -maximumClockSkew) {
      return createFailure('KEY_FROM_FUTURE');
    }
    if (isForgotten(key.issuedAt)) {
      return createFailure('KEY_EXPIRED');
    }
    // It is still remembered: what isn't recorded by now never ran.
    return age > keyRetention
      ? createFailure('KEY_EXPIRED', {outcome: 'not_run'})
      : undefined;
  }

  /** Forgets from the oldest record on; the first that is kept ends it. */
  function forget(): void {
    for (const [id, entry] of recorded) {
      if (!isForgotten(entry.issuedAt)) {
        return;
      }
      recorded.delete(id);
    }
  }

  function record(logRecord: LogRecord): void {
    const {key, statements, rows, at, cancelsKey} = logRecord;
    if (key === undefined) {
      return;
    }
    recorded.set(key.id, {
      digest: digestStatements(statements),
      issuedAt: key.issuedAt,
      cancelled: cancelsKey ?? false,
      rows: rows ?? [],
      at,
    });
    forget();
  }

  return {
    find: key => recorded.get(key.id),
    findFault,
    record,
    clear: () => recorded.clear(),
  };
}
