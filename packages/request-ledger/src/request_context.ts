/**
 * Defines the state of a request that is passed to the functions serving it.
 */
import type {RetryBudget} from '@kelpstep/pool';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import type {GroupAccess} from './group_access';
import type {LedgerPolicies} from './ledger_policies';

/** Data collected while a request is served, for metrics and logs. */
export interface RequestMetadata {
  retries: number;
  queueTime: Milliseconds;
  servedBy: string | undefined;
  role: 'primary' | 'replica' | undefined;
  age: Milliseconds | undefined;
}

/** Attributes of a request, and the group, policies and budget that it uses. */
export interface RequestContext {
  readonly runtime: Runtime;
  readonly group: GroupAccess;
  /** Name shared by requests of similar service time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time by which the request must be answered. */
  readonly deadline: Milliseconds;
  readonly policies: LedgerPolicies;
  readonly retryBudget: RetryBudget;
  readonly metadata: RequestMetadata;
}

export function createRequestMetadata(): RequestMetadata {
  return {
    retries: 0,
    queueTime: 0,
    servedBy: undefined,
    role: undefined,
    age: undefined,
  };
}

/** Returns the time until the deadline; negative after it. */
export function remainingTime(context: RequestContext): Milliseconds {
  return context.deadline - context.runtime.timer.now();
}
