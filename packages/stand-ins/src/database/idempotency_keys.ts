/** Idempotency keys that a database has recorded together with its data. */
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

/** Recorded outcome of an idempotency key. */
export interface RecordedKey {
  /** Digest of the statements that were executed with the key. */
  readonly digest: string;
  readonly issuedAt: Milliseconds;
  readonly cancelled: boolean;
  readonly rows: Rows;
  readonly at: LogPosition;
}

/** Age limits of keys, checked against this target's wall clock. */
export interface KeyLimits {
  readonly keyRetention: Milliseconds;
  readonly maximumClockSkew: Milliseconds;
}

/** Index of the recorded keys. */
export interface IdempotencyKeys {
  find(key: IdempotencyKey): RecordedKey | undefined;
  /**
   * Returns a failure for an unrecorded key that is too old or from the future.
   */
  validate(key: IdempotencyKey): Failure | undefined;
  /** Records the key of a log record, if it has one. */
  record(record: LogRecord): void;
  clear(): void;
}

/**
 * Keys are deleted at this multiple of their retention. Until then a key that
 * is not recorded is known not to have been executed.
 */
const DELETION_AGE_FACTOR = 2;

/** Digest of a list of statements: SHA-256 of texts and parameters, in hex. */
export function digestStatements(statements: readonly Statement[]): string {
  const content = statements.map(({text, parameters}) => [text, parameters]);
  return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}

/** Creates an empty index of keys. */
export function createIdempotencyKeys(
  wallClock: () => Milliseconds,
  limits: () => KeyLimits,
): IdempotencyKeys {
  const recorded = new Map<string, RecordedKey>();

  function ageOf(issuedAt: Milliseconds): Milliseconds {
    return wallClock() - issuedAt;
  }

  function isDeletable(issuedAt: Milliseconds): boolean {
    return ageOf(issuedAt) > DELETION_AGE_FACTOR * limits().keyRetention;
  }

  function validate(key: IdempotencyKey): Failure | undefined {
    const {keyRetention, maximumClockSkew} = limits();
    const age = ageOf(key.issuedAt);
    if (age < -maximumClockSkew) {
      return createFailure('KEY_FROM_FUTURE');
    }
    if (isDeletable(key.issuedAt)) {
      return createFailure('KEY_EXPIRED');
    }
    // Keys of this age are not deleted yet, so an unrecorded one never ran.
    return age > keyRetention
      ? createFailure('KEY_EXPIRED', {outcome: 'not_run'})
      : undefined;
  }

  /** Deletes expired keys, oldest record first, up to the first to keep. */
  function deleteOldEntries(): void {
    for (const [id, entry] of recorded) {
      if (!isDeletable(entry.issuedAt)) {
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
    deleteOldEntries();
  }

  return {
    find: key => recorded.get(key.id),
    validate,
    record,
    clear: () => recorded.clear(),
  };
}
