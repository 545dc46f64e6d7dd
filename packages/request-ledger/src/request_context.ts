/** What a request carries through the request path. */
import type {RetryBudget} from '@kelpstep/pool';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import type {GroupAccess} from './group_access';
import type {LedgerPolicies} from './ledger_policies';

/** What is noted about a request while it is served. */
export interface RequestNotes {
  retries: number;
  queueTime: Milliseconds;
  servedBy: string | undefined;
  role: 'primary' | 'replica' | undefined;
  age: Milliseconds | undefined;
}

/** A request on its way. */
export interface RequestContext {
  readonly runtime: Runtime;
  readonly group: GroupAccess;
  /** Names requests that take about the same time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time after which no answer is wanted. */
  readonly deadline: Milliseconds;
  readonly policies: LedgerPolicies;
  readonly retryBudget: RetryBudget;
  readonly notes: RequestNotes;
}

/** Notes without content. */
export function createRequestNotes(): RequestNotes {
  return {
    retries: 0,
    queueTime: 0,
    servedBy: undefined,
    role: undefined,
    age: undefined,
  };
}

/** Time until the deadline; negative past it. */
export function remainingTime(context: RequestContext): Milliseconds {
  return context.deadline - context.runtime.timer.now();
}
