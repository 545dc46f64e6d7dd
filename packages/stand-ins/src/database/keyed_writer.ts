/** Writes records so that each idempotency key runs at most once. */
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

/** Writes for a member that has checked that it is primary. */
export interface KeyedWriter {
  /**
   * The recorded answer of a key; `undefined` if the key is free to use. The
   * statements are compared if they are known.
   */
  check(
    key: IdempotencyKey,
    statements: readonly Statement[] | undefined,
  ): Result<Execution | undefined, Failure>;
  /** Writes a record unless its key or a pause stands against it. */
  writeOnce(record: NewRecord): Result<Execution, Failure>;
  /** Gives the recorded answer of a key, or cancels it. */
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
      const fault = store.keys.findFault(key);
      return fault === undefined ? Ok(undefined) : Err(fault);
    }
    if (recorded.cancelled) {
      return Err(createFailure('KEY_CANCELLED'));
    }
    const isOther =
      statements !== undefined &&
      recorded.digest !== digestStatements(statements);
    return isOther
      ? Err(createFailure('KEY_MISMATCH'))
      : Ok(recordedExecution(recorded));
  }

  function writeOnce(record: NewRecord): Result<Execution, Failure> {
    const {key, statements} = record;
    const known = key === undefined ? Ok(undefined) : check(key, statements);
    if (known.err) {
      return known;
    }
    if (known.val !== undefined) {
      return Ok(known.val);
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
    // A key that may have been forgotten can't be told from one that never ran.
    const fault = store.keys.findFault(key);
    if (fault?.outcome === 'unknown') {
      return Err(fault);
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
