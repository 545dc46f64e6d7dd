/** Event handlers and status parser for proxies in a simulation. */
import type {StatementProxyEvents} from '@kelpstep/gateway';
import type {StatementAnswer, TargetStatus} from '@kelpstep/statements';
import {IGNORED_FEED_EVENTS} from '@kelpstep/table-feed';

/** Handlers that ignore all events. */
export const IGNORED_EVENTS: StatementProxyEvents = {
  gateway: {
    onRequestEnd: () => {},
    onPlacement: () => {},
    onSession: () => {},
  },
  targets: () => ({
    onReachability: () => {},
    onLeader: () => {},
    onCommit: () => {},
    onTarget: () => {},
    onConnectionOpened: () => {},
    onStatementStart: () => {},
    onOutlier: () => {},
  }),
  succession: () => ({
    onStart: () => {},
    onStep: () => {},
    onChoice: () => {},
    onEnd: () => {},
  }),
  onConfiguration: () => {},
  onFinding: () => {},
  onListenFailure: () => {},
  onQuotaAnswer: () => {},
  tables: IGNORED_FEED_EVENTS,
};

/**
 * Parses a stand-in's status row, `ROLE TERM RECEIVED_TERM.POSITION TERM_HELD`.
 * Undefined if the role is unknown.
 */
export function readStatus(answer: StatementAnswer): TargetStatus | undefined {
  const [role, term, end = '', termHeld] = answer.rows[0]?.split(' ') ?? [];
  if (role !== 'primary' && role !== 'replica') {
    return undefined;
  }
  const [receivedTerm, position] = end.split('.');
  return {
    role,
    term: Number(term),
    received: {term: Number(receivedTerm), position: Number(position)},
    termHeld: Number(termHeld),
  };
}
