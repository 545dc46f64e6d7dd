/** Checks the manifest commits of operators in a run. */
import type {CommitFailure, AcceptedManifest} from '@kelpstep/manifest';
import type {Result} from 'ts-results';

import type {Violation} from './invariants';

/** A manifest commit that an operator sent. */
export interface SentCommit {
  readonly expectedVersion: number;
  readonly commitId: string;
  /** Ids of the members that the manifest marks as leaving. */
  readonly leaving: ReadonlySet<string>;
  /** Result reported to the operator; absent while the commit is pending. */
  result?: Result<AcceptedManifest, CommitFailure>;
}

/**
 * Checks that at most one of the commits that replace the same version is
 * accepted, and that exactly one is accepted if all others report a conflict.
 */
export function checkCommits(commits: readonly SentCommit[]): Violation[] {
  const violations: Violation[] = [];
  for (const expectedVersion of new Set(commits.map(versionOf))) {
    const competing = commits.filter(
      commit => versionOf(commit) === expectedVersion,
    );
    const outcomes = competing.map(outcomeOf);
    const accepted = outcomes.filter(outcome => outcome === 'accepted').length;
    const isDecided = outcomes.every(
      outcome => outcome === 'accepted' || outcome === 'VERSION_CONFLICT',
    );
    if (accepted > 1 || (competing.length > 1 && isDecided && accepted !== 1)) {
      violations.push({
        invariant: 'one-commit-wins',
        operation: undefined,
        message: `commits on version ${expectedVersion}: ${outcomes.join(', ')}`,
      });
    }
  }
  return violations;
}

/**
 * The highest version whose acceptance was reported to an operator; 0 if none.
 */
export function highestAccepted(commits: readonly SentCommit[]): number {
  const versions = commits.map(({result}) => {
    return result?.ok === true ? result.val.version : 0;
  });
  return Math.max(0, ...versions);
}

function versionOf({expectedVersion}: SentCommit): number {
  return expectedVersion;
}

function outcomeOf({result}: SentCommit): string {
  if (result === undefined) {
    return 'pending';
  }
  return result.ok ? 'accepted' : result.val.failure.name;
}
