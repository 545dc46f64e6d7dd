/**
 * Predicts when a statement gets a connection of this proxy while transactions
 * hold all of them, from the times of transactions and the statements that wait
 * already. Does no input or output.
 *
 * This matters when idle transactions hold this proxy's connections while other
 * connection owners have free ones.
 */
import type {Milliseconds} from '@kelpstep/runtime';
import type {ConnectionNeed, TargetLink} from '@kelpstep/targets';

import {type DispatchRequest, statementKindOf} from './dispatch_types';

/** What the prediction needs to know of a target. */
export type AwaitedLink = Pick<
  TargetLink,
  'target' | 'registration' | 'connectionWait' | 'isReached' | 'isStarved'
>;

/** Predictions for new statements, with the statements that wait already. */
export interface StartWaits {
  /**
   * Records that a transaction waits for a connection to the target. The
   * returned function is to be called once when it no longer does.
   */
  addWaitingBegin(target: string): () => void;
  /**
   * Predicted time until the first of the targets has a connection for the
   * statement; 0 unless transactions hold all connections. A queue counts
   * nothing: it is ordered by worth, so only the queue itself can decide whether
   * a statement would start too late in it.
   */
  expected(
    links: readonly AwaitedLink[],
    request: DispatchRequest,
  ): Milliseconds;
}

/**
 * Longest predicted wait of a statement that counts as started at once: about a
 * round trip between regions, which trying another owner takes.
 */
export const LONGEST_IMMEDIATE_WAIT_MS: Milliseconds = 50;

function needOf(request: DispatchRequest): ConnectionNeed {
  return {
    user: request.account,
    kind: statementKindOf(request),
    isBegin: request.statement.kind === 'begin',
  };
}

function shortest(
  links: readonly AwaitedLink[],
  {account}: DispatchRequest,
  waitAt: (link: AwaitedLink) => Milliseconds,
): Milliseconds {
  const waits = links
    .filter(
      link =>
        link.isReached() &&
        !link.registration().isLeaving &&
        !link.isStarved(account),
    )
    .map(waitAt);
  return waits.length === 0 ? 0 : Math.min(...waits);
}

/** Creates predictions without waiting statements. */
export function createStartWaits(): StartWaits {
  /** Transactions that wait for a connection, by target. */
  const waitingBegins = new Map<string, number>();

  function add(target: string, change: 1 | -1): void {
    const count = (waitingBegins.get(target) ?? 0) + change;
    if (count === 0) {
      waitingBegins.delete(target);
    } else {
      waitingBegins.set(target, count);
    }
  }

  function waitAt(link: AwaitedLink, need: ConnectionNeed): Milliseconds {
    const {untilRelease, isPinned} = link.connectionWait(need);
    // Each of the transactions ahead keeps a connection that is released.
    const ahead = waitingBegins.get(link.target) ?? 0;
    return isPinned ? untilRelease * (1 + ahead) : 0;
  }

  return {
    addWaitingBegin(target) {
      add(target, 1);
      return () => add(target, -1);
    },
    expected(links, request) {
      const need = needOf(request);
      return shortest(links, request, link => waitAt(link, need));
    },
  };
}
