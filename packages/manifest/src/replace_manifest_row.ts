/**
 * The compare-and-set of a commit. Its answer may be lost after the effect, so
 * the row is read to learn who took the version. The same compare-and-set may
 * be sent again, since at most one of them can succeed.
 */
import {MANIFEST_ROW_KEY, ManifestRow, TABLES} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import type {Task} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {
  CommitFailure,
  CommitStep,
  callFailed,
  forgottenCommit,
  lostToAnother,
} from './commit_failure';
import {commitFate, readManifestRow} from './manifest_row';
import type {PatientCalls} from './patient_calls';

/** What replaces the row. */
export interface RowReplacement {
  readonly platform: PlatformClient;
  readonly calls: PatientCalls;
  readonly expectedVersion: number;
  readonly value: ManifestRow;
}

/**
 * Reads who took the version; undefined while nobody has. `hasLost`: every
 * try is known to have failed.
 */
function* resolveFate(
  replacement: RowReplacement,
  hasLost: boolean,
): Task<Result<undefined, CommitFailure> | undefined> {
  const {platform, calls, expectedVersion, value} = replacement;
  const read = yield* calls.persist(() => readManifestRow(platform));
  if (read.err) {
    return Err(hasLost ? lostToAnother() : callFailed(read.val, true));
  }
  switch (commitFate(read.val, {...value, expectedVersion})) {
    case 'accepted':
      return Ok(undefined);
    case 'lost':
      return Err(lostToAnother(read.val));
    case 'unknowable':
      return Err(
        hasLost
          ? lostToAnother(read.val)
          : forgottenCommit(expectedVersion + 1),
      );
    case 'open':
      return undefined;
  }
}

/** Replaces the row, or finds out what became of the attempt. */
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
      const resolved = yield* resolveFate(replacement, !mayBeAccepted);
      if (resolved !== undefined) {
        return resolved;
      }
    }
    if (!(yield* calls.mayRepeat())) {
      return Err(callFailed(written.val, mayBeAccepted));
    }
  }
}
