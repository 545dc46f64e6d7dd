/** Failures of a commit, including unknown outcomes. */
import {EarlierCommit, Failure, createFailure} from '@kelpstep/protocol';
import type {Task} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {Finding, formatFinding} from './finding';
import {CurrentManifestRow, latestCommit} from './manifest_row';

/** The failure of a commit that is not known to be accepted. */
export interface CommitFailure {
  /**
   * `MANIFEST_INVALID`, `VERSION_CONFLICT`, `OUTCOME_UNKNOWN` or the failure of
   * the platform. The outcome is `unknown` if the commit may have been accepted
   * or may still be.
   */
  readonly failure: Failure;
  readonly findings: readonly Finding[];
  /** The commit in force, if it is known after a version conflict. */
  readonly current?: EarlierCommit;
}

/** A task within a commit, which ends the commit if it fails. */
export type CommitStep<T> = Task<Result<T, CommitFailure>>;

/**
 * Returns the failure of a commit after a failed call. Its outcome is `unknown`
 * if the commit may have been accepted, else `not_run`.
 */
export function callFailed(
  failure: Failure,
  mayBeAccepted: boolean,
): CommitFailure {
  const outcome = mayBeAccepted ? 'unknown' : 'not_run';
  return {failure: {...failure, outcome}, findings: []};
}

/**
 * Returns the failure of a commit whose text has errors, by itself or as an
 * update of the manifest in force.
 */
export function invalidManifest(findings: readonly Finding[]): CommitFailure {
  const details = findings.map(formatFinding);
  return {failure: createFailure('MANIFEST_INVALID', {details}), findings};
}

/**
 * Returns the failure of a commit whose version another commit created; `row`
 * is the manifest row if it has been read.
 */
export function versionConflict(row?: CurrentManifestRow): CommitFailure {
  const current = row === undefined ? undefined : latestCommit(row);
  const inForce =
    current === undefined
      ? 'Another version'
      : `Version ${current.version} by ${current.committedBy}`;
  const failure = createFailure('VERSION_CONFLICT', {
    message: `${inForce} is in force.`,
  });
  return {failure, findings: [], ...(current === undefined ? {} : {current})};
}

/**
 * Returns the failure of a commit if the manifest row no longer records which
 * commit created the version.
 */
export function unknownOutcome(version: number): CommitFailure {
  const message = `Who committed version ${version} is no longer known.`;
  return {failure: createFailure('OUTCOME_UNKNOWN', {message}), findings: []};
}
