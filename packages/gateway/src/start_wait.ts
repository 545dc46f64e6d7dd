/**
 * Predicts when a statement can start at this proxy, from the state of its
 * connections, the statements that wait for one, and the queues of targets.
 * Does no input or output.
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
  | 'target'
  | 'registration'
  | 'connectionWait'
  | 'queueTime'
  | 'isReached'
  | 'isStarved'
>;

/** Predictions for new statements, with the statements that wait already. */
export interface StartWaits {
  /**
   * Records that a statement waits for a connection to the target. The returned
   * function is to be called when it no longer does.
   */
  begin(target: string, request: DispatchRequest): () => void;
  /**
   * Predicted time until the first of the targets starts the statement; 0 if
   * none is reached, because an attempt then shows which ones are.
   */
  expected(
    links: readonly AwaitedLink[],
    request: DispatchRequest,
  ): Milliseconds;
  /**
   * Predicted time until a transaction releases a connection to one of the
   * targets; 0 unless transactions hold all connections.
   */
  untilUnpinned(
    links: readonly AwaitedLink[],
    request: DispatchRequest,
  ): Milliseconds;
}

/**
 * Longest predicted wait of a statement that counts as started at once: about a
 * round trip between regions, which trying another owner takes.
 */
export const LONGEST_IMMEDIATE_WAIT_MS: Milliseconds = 50;
/**
 * Maximum part of a prediction that is due to the queue. A queue is ordered by
 * the worth of statements, so only the queue itself can decide whether a
 * statement would start too late in it.
 */
const MAXIMUM_QUEUE_TIME_MS: Milliseconds = 250;

interface WaitingCounts {
  statements: number;
  begins: number;
}

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
  const waiting = new Map<string, WaitingCounts>();

  function countsOf(target: string): WaitingCounts {
    const counts = waiting.get(target) ?? {statements: 0, begins: 0};
    waiting.set(target, counts);
    return counts;
  }

  function add(target: string, {statement}: DispatchRequest, count: number) {
    const counts = countsOf(target);
    counts.statements += count;
    counts.begins += statement.kind === 'begin' ? count : 0;
  }

  function waitAt(link: AwaitedLink, need: ConnectionNeed): Milliseconds {
    const {untilRelease, isPinned} = link.connectionWait(need);
    const {statements, begins} = countsOf(link.target);
    // A single statement soon passes a released connection on; a transaction
    // keeps it.
    const ahead = isPinned ? begins : statements;
    const queueTime = Math.min(
      MAXIMUM_QUEUE_TIME_MS,
      link.queueTime(need.kind),
    );
    return untilRelease * (1 + ahead) + queueTime;
  }

  return {
    begin(target, request) {
      add(target, request, 1);
      return () => add(target, request, -1);
    },
    expected(links, request) {
      const need = needOf(request);
      return shortest(links, request, link => waitAt(link, need));
    },
    untilUnpinned(links, request) {
      const need = needOf(request);
      return shortest(links, request, link => {
        const {untilRelease, isPinned} = link.connectionWait(need);
        return isPinned ? untilRelease : 0;
      });
    },
  };
}
