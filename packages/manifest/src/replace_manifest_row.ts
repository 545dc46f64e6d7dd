/**
 * The compare-and-set of a commit. The answer may be lost after the write took
 * effect, so the row is read to determine which commit created the version.
 * Repeating the same compare-and-set is safe, as at most one of them succeeds.
 */
import {MANIFEST_ROW_KEY, ManifestRow, TABLES} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import type {Task} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {
  CommitFailure,
  CommitStep,
  callFailed,
  unknownOutcome,
  versionConflict,
} from './commit_failure';
import {readManifestRow, resolveCommit} from './manifest_row';
import type {RetryingCalls} from './retrying_calls';

/** The new value of the row and the means to write it. */
export interface RowReplacement {
  readonly platform: PlatformClient;
  readonly calls: RetryingCalls;
  readonly expectedVersion: number;
  readonly value: ManifestRow;
}

/**
 * Reads which commit created the version; returns undefined while the version
 * does not exist. `allAttemptsFailed`: no earlier attempt can still take
 * effect.
 */
function* resolveAttempt(
  replacement: RowReplacement,
  allAttemptsFailed: boolean,
): Task<Result<undefined, CommitFailure> | undefined> {
  const {platform, calls, expectedVersion, value} = replacement;
  const read = yield* calls.retry(() => readManifestRow(platform));
  if (read.err) {
    return Err(
      allAttemptsFailed ? versionConflict() : callFailed(read.val, true),
    );
  }
  switch (resolveCommit(read.val, {...value, expectedVersion})) {
    case 'accepted':
      return Ok(undefined);
    case 'lost':
      return Err(versionConflict(read.val));
    case 'unknowable':
      return Err(
        allAttemptsFailed
          ? versionConflict(read.val)
          : unknownOutcome(expectedVersion + 1),
      );
    case 'open':
      return undefined;
  }
}

/**
 * Replaces the row. If the outcome of an attempt is unknown, the row is read to
 * determine it.
 */
export function* replaceManifestRow(
  replacement: RowReplacement,
): CommitStep<undefined> {
  const {platform, calls, expectedVersion, value} = replacement;
  let mayBeAccepted = false;
  for (;;) {
    const written = yield* calls.once(() =>
      platform.writeRow(
        TABLES.manifest,
        MANIFEST_ROW_KEY,
        expectedVersion,
        value,
      ),
    );
    if (written.ok) {
      return Ok(undefined);
    }
    const isConflict = written.val.name === 'VERSION_CONFLICT';
    mayBeAccepted ||= written.val.outcome === 'unknown';
    if (isConflict || mayBeAccepted) {
      const resolved = yield* resolveAttempt(replacement, !mayBeAccepted);
      if (resolved !== undefined) {
        return resolved;
      }
    }
    if (!(yield* calls.backOff())) {
      return Err(callFailed(written.val, mayBeAccepted));
    }
  }
}
