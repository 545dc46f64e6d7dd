/** Commits of operators in a run, and what must hold of them. */
import type {CommitFailure, AcceptedManifest} from '@kelpstep/manifest';
import type {Result} from 'ts-results';

import type {Violation} from './invariants';

/** A commit that an operator sent. */
export interface SentCommit {
  readonly expectedVersion: number;
  readonly commitId: string;
  /** Members that it calls leaving. */
  readonly leaving: ReadonlySet<string>;
  /** What the operator was told; absent until then. */
  result?: Result<AcceptedManifest, CommitFailure>;
}

/** Of commits that replace one version at most one wins; others hear of it. */
export function checkCommits(commits: readonly SentCommit[]): Violation[] {
  const violations: Violation[] = [];
  for (const expectedVersion of new Set(commits.map(versionOf))) {
    const rivals = commits.filter(
      commit => versionOf(commit) === expectedVersion,
    );
    const outcomes = rivals.map(outcomeOf);
    const accepted = outcomes.filter(outcome => outcome === 'accepted').length;
    const isDecided = outcomes.every(
      outcome => outcome === 'accepted' || outcome === 'VERSION_CONFLICT',
    );
    if (accepted > 1 || (rivals.length > 1 && isDecided && accepted !== 1)) {
      violations.push({
        invariant: 'one-commit-wins',
        operation: undefined,
        message: `commits on version ${expectedVersion}: ${outcomes.join(', ')}`,
      });
    }
  }
  return violations;
}

/** The highest version that an operator was told to be accepted. */
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
