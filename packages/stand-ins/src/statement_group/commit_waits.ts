/** Commits of a primary that wait until a replica has received them. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';

interface WaitingCommit {
  readonly position: LogPosition;
  readonly done: () => void;
}

/** Commits that wait. */
export interface CommitWaits {
  add(position: LogPosition, done: () => void): void;
  /** A replica has received up to here. */
  acknowledge(position: LogPosition): void;
  /** The target leads no more: nothing is acknowledged. */
  clear(): void;
}

/** Creates them empty. */
export function createCommitWaits(): CommitWaits {
  let waiting: WaitingCommit[] = [];
  return {
    add: (position, done) => void waiting.push({position, done}),
    acknowledge(position) {
      const done = waiting.filter(
        commit => compareLogPositions(commit.position, position) <= 0,
      );
      waiting = waiting.filter(commit => !done.includes(commit));
      done.forEach(commit => commit.done());
    },
    clear() {
      waiting = [];
    },
  };
}
