/** The row that names the manifest in force and records recent commits. */
import {
  EarlierCommit,
  Failure,
  MANIFEST_ROW_KEY,
  ManifestRow,
  TABLES,
  createFailure,
  manifestRowSchema,
} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import {Future, mapFuture} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

/** Maximum number of earlier commits that the row records. */
export const MAXIMUM_RECENT_COMMITS = 32;

/** The row as read. Without a value, no manifest has been accepted yet. */
export interface CurrentManifestRow {
  readonly version: number;
  readonly value: ManifestRow | undefined;
}

/**
 * Reads the manifest row; fails with `INTERNAL_ERROR` if its value has an
 * unknown form.
 */
export function readManifestRow(
  platform: PlatformClient,
): Future<Result<CurrentManifestRow, Failure>> {
  return mapFuture(
    platform.readRow(TABLES.manifest, MANIFEST_ROW_KEY),
    (read): Result<CurrentManifestRow, Failure> => {
      if (read.err) {
        return read;
      }
      const {version, value} = read.val;
      if (version === 0) {
        return Ok({version, value: undefined});
      }
      const parsed = manifestRowSchema.safeParse(value);
      return parsed.success
        ? Ok({version, value: parsed.data})
        : Err(
            createFailure('INTERNAL_ERROR', {
              message: 'The manifest row has an unknown form.',
              outcome: 'not_run',
            }),
          );
    },
  );
}

/** Returns the commit that wrote the current value of the row. */
export function latestCommit(
  row: CurrentManifestRow,
): EarlierCommit | undefined {
  const {version, value} = row;
  if (value === undefined) {
    return undefined;
  }
  const {commitId, digest, committedBy} = value;
  return {version, commitId, digest, committedBy};
}

/** Returns the commits that the row records, newest first. */
export function knownCommits(row: CurrentManifestRow): EarlierCommit[] {
  const latest = latestCommit(row);
  return latest === undefined ? [] : [latest, ...(row.value?.recent ?? [])];
}

/**
 * The state of a commit: `accepted`; `lost`, as another commit created its
 * version; `open`, as the version does not exist yet and a request in flight
 * may still create it; `unknowable`, as the row no longer records the version
 * or has not reached it.
 */
export type CommitResolution = 'accepted' | 'lost' | 'open' | 'unknowable';

/** A commit whose state is to be determined. */
export interface CommitAttempt {
  readonly expectedVersion: number;
  readonly commitId: string;
  readonly digest: string;
}

/**
 * Determines from the row the state of a commit that is to create the version
 * after `expectedVersion`.
 */
export function resolveCommit(
  row: CurrentManifestRow,
  {expectedVersion, commitId, digest}: CommitAttempt,
): CommitResolution {
  if (row.version === expectedVersion) {
    return 'open';
  }
  const successor = knownCommits(row).find(
    commit => commit.version === expectedVersion + 1,
  );
  if (successor === undefined) {
    return 'unknowable';
  }
  const isOurs = successor.commitId === commitId && successor.digest === digest;
  return isOurs ? 'accepted' : 'lost';
}
