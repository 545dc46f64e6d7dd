/** Commits of a primary that are not yet acknowledged by a replica. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';

interface PendingCommit {
  readonly position: LogPosition;
  readonly release: () => void;
  readonly done: () => void;
}

/** The unacknowledged commits of one primary. */
export interface PendingCommits {
  /** Calls `done` once a replica has received the log up to a position. */
  add(position: LogPosition, done: () => void): void;
  /** Reports that a replica has received the log up to a position. */
  acknowledge(position: LogPosition): void;
  /** Discards all commits unanswered, e.g. after a demotion. */
  clear(): void;
}

/**
 * Creates an empty set of commits. `hold` is called for each one and returns
 * the function to call when it no longer waits.
 */
export function createPendingCommits(
  hold: () => () => void = () => () => {},
): PendingCommits {
  let waiting: PendingCommit[] = [];
  return {
    add: (position, done) =>
      void waiting.push({position, release: hold(), done}),
    acknowledge(position) {
      const done = waiting.filter(
        commit => compareLogPositions(commit.position, position) <= 0,
      );
      waiting = waiting.filter(commit => !done.includes(commit));
      done.forEach(commit => {
        commit.release();
        commit.done();
      });
    },
    clear() {
      waiting.splice(0).forEach(({release}) => release());
    },
  };
}
