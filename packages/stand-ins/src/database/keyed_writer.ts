/** Writes records so that each idempotency key takes effect at most once. */
import {
  Execution,
  Failure,
  IdempotencyKey,
  KeyState,
  Statement,
  createFailure,
} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';

import {RecordedKey, digestStatements} from './idempotency_keys';
import type {MemberState} from './member_state';
import type {NewRecord, Store} from './store';

/** Writes for a member; callers check first that it is the primary. */
export interface KeyedWriter {
  /**
   * Returns the recorded answer of a key, or `undefined` if the key is unused
   * and valid. Given statements must match the recorded ones, otherwise the
   * check fails with `KEY_MISMATCH`.
   */
  check(
    key: IdempotencyKey,
    statements: readonly Statement[] | undefined,
  ): Result<Execution | undefined, Failure>;
  /**
   * Writes a record, or returns the recorded answer of its key. Fails if the
   * key is not usable or writes are paused.
   */
  writeOnce(record: NewRecord): Result<Execution, Failure>;
  /**
   * Returns the recorded state of a key. If there is none, cancels the key,
   * unless writes are paused or the key is so old that it may have been
   * deleted: these are failures.
   */
  settle(term: number, key: IdempotencyKey): Result<KeyState, Failure>;
}

function recordedExecution(recorded: RecordedKey): Execution {
  return {rows: recorded.rows, at: recorded.at, duplicate: true};
}

function recordedState(recorded: RecordedKey): KeyState {
  return recorded.cancelled
    ? {state: 'cancelled', at: recorded.at}
    : {state: 'recorded', execution: recordedExecution(recorded)};
}

/** Creates the writer of a store. */
export function createKeyedWriter(
  store: Store,
  member: MemberState,
): KeyedWriter {
  function check(
    key: IdempotencyKey,
    statements: readonly Statement[] | undefined,
  ): Result<Execution | undefined, Failure> {
    const recorded = store.keys.find(key);
    if (recorded === undefined) {
      const failure = store.keys.validate(key);
      return failure === undefined ? Ok(undefined) : Err(failure);
    }
    if (recorded.cancelled) {
      return Err(createFailure('KEY_CANCELLED'));
    }
    const isMismatch =
      statements !== undefined &&
      recorded.digest !== digestStatements(statements);
    return isMismatch
      ? Err(createFailure('KEY_MISMATCH'))
      : Ok(recordedExecution(recorded));
  }

  function writeOnce(record: NewRecord): Result<Execution, Failure> {
    const {key, statements} = record;
    const keyCheck = key === undefined ? Ok(undefined) : check(key, statements);
    if (keyCheck.err) {
      return keyCheck;
    }
    if (keyCheck.val !== undefined) {
      return Ok(keyCheck.val);
    }
    const pause = member.checkPause();
    return pause === undefined
      ? store.write(record).map(written => ({...written, duplicate: false}))
      : Err(pause);
  }

  function settle(
    term: number,
    key: IdempotencyKey,
  ): Result<KeyState, Failure> {
    const recorded = store.keys.find(key);
    if (recorded !== undefined) {
      return Ok(recordedState(recorded));
    }
    // A key this old may have been deleted, so its outcome is not known.
    const failure = store.keys.validate(key);
    if (failure?.outcome === 'unknown') {
      return Err(failure);
    }
    const pause = member.checkPause();
    if (pause !== undefined) {
      return Err(pause);
    }
    return store
      .write({term, statements: [], key, cancelsKey: true, answersRows: false})
      .map(({at}) => ({state: 'cancelled', at}));
  }

  return {check, writeOnce, settle};
}
