/** The row that says which manifest is in force, and what it tells of commits. */
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

/** Earlier commits that the row remembers. */
export const REMEMBERED_COMMITS = 32;

/** The row as read; without a value no manifest was ever accepted. */
export interface CurrentManifestRow {
  readonly version: number;
  readonly value: ManifestRow | undefined;
}

/** Reads the manifest row. */
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

/** The commit that made the row what it is. */
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

/** Known commits, newest first. */
export function knownCommits(row: CurrentManifestRow): EarlierCommit[] {
  const latest = latestCommit(row);
  return latest === undefined ? [] : [latest, ...(row.value?.recent ?? [])];
}

/**
 * What became of a commit: `accepted`; `lost`, for another commit took its
 * version; `open`, for nobody took the version, and a request that is still on
 * its way may; `unknowable`, for the row does not remember the version, or has
 * not come to it.
 */
export type CommitFate = 'accepted' | 'lost' | 'open' | 'unknowable';

/** A commit whose fate is asked for. */
export interface SoughtCommit {
  readonly expectedVersion: number;
  readonly commitId: string;
  readonly digest: string;
}

/** Tells the fate of a commit on top of its expected version. */
export function commitFate(
  row: CurrentManifestRow,
  {expectedVersion, commitId, digest}: SoughtCommit,
): CommitFate {
  if (row.version === expectedVersion) {
    return 'open';
  }
  const taker = knownCommits(row).find(
    commit => commit.version === expectedVersion + 1,
  );
  if (taker === undefined) {
    return 'unknowable';
  }
  const isOurs = taker.commitId === commitId && taker.digest === digest;
  return isOurs ? 'accepted' : 'lost';
}
