/** Why a commit was not accepted, or that this is not known. */
import {EarlierCommit, Failure, createFailure} from '@kelpstep/protocol';
import type {Task} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {Finding, formatFinding} from './finding';
import {CurrentManifestRow, latestCommit} from './manifest_row';

/** A commit that was not accepted, as far as is known. */
export interface CommitFailure {
  /**
   * `MANIFEST_INVALID`, `VERSION_CONFLICT` or the platform's failure; outcome
   * `unknown` if the commit may have been or yet be accepted.
   */
  readonly failure: Failure;
  readonly findings: readonly Finding[];
  /** With a conflict: the commit that is in force. */
  readonly current?: EarlierCommit;
}

/** A step of a commit. */
export type CommitStep<T> = Task<Result<T, CommitFailure>>;

/** A failure of a call, with the outcome of the commit as a whole. */
export function callFailed(
  failure: Failure,
  mayBeAccepted: boolean,
): CommitFailure {
  const outcome = mayBeAccepted ? 'unknown' : 'not_run';
  return {failure: {...failure, outcome}, findings: []};
}

/** The text has errors, by itself or as the successor of another. */
export function invalidManifest(findings: readonly Finding[]): CommitFailure {
  const details = findings.map(formatFinding);
  return {failure: createFailure('MANIFEST_INVALID', {details}), findings};
}

/** Another commit won; `row` if it is known which. */
export function lostToAnother(row?: CurrentManifestRow): CommitFailure {
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

/** So many commits came since that the row forgot who won. */
export function forgottenCommit(version: number): CommitFailure {
  const message = `Who committed version ${version} is no longer known.`;
  return {failure: createFailure('OUTCOME_UNKNOWN', {message}), findings: []};
}
