/** Edges of proxies in a statement world: what they tell, and how rows are read. */
import type {StatementProxyEvents} from '@kelpstep/gateway';
import type {StatementAnswer, TargetStatus} from '@kelpstep/statements';
import {IGNORED_FEED_EVENTS} from '@kelpstep/table-feed';

/** Tells nobody. */
export const SILENT_EVENTS: StatementProxyEvents = {
  gateway: {onRequestEnd: () => {}, onSession: () => {}},
  targets: () => ({
    onReachability: () => {},
    onLeader: () => {},
    onTarget: () => {},
  }),
  succession: () => ({
    onStart: () => {},
    onStep: () => {},
    onEnd: () => {},
  }),
  onConfiguration: () => {},
  onFinding: () => {},
  onListenFailure: () => {},
  tables: IGNORED_FEED_EVENTS,
};

/** Reads the row of a stand-in's status. */
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
