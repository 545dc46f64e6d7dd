/** Combines the replaceable policies of request processing. */
import {
  PoolPolicies,
  RetryBudgetSettings,
  DEFAULT_RETRY_BUDGET,
  VALUE_PER_SLOT_TIME,
  borrowingShare,
  createAdaptiveLimit,
  spreadRetryAfter,
} from '@kelpstep/pool';
import {
  DEFAULT_LEDGER_POLICIES,
  LedgerPolicies,
} from '@kelpstep/request-ledger';

import {ReadPolicy, createReplicaPreferencePolicy} from './read_policy';

/** Policies of target pools, of requests to the primary and of reads. */
export interface RequestPolicies extends PoolPolicies, LedgerPolicies {
  readonly read: ReadPolicy;
  readonly retryBudget: RetryBudgetSettings;
}

/** Policies that apply unless they are replaced. */
export const DEFAULT_REQUEST_POLICIES: RequestPolicies = {
  ...DEFAULT_LEDGER_POLICIES,
  queue: VALUE_PER_SLOT_TIME,
  createConcurrencyLimit: createAdaptiveLimit,
  retryAfter: spreadRetryAfter,
  connectionShare: borrowingShare,
  read: createReplicaPreferencePolicy(),
  retryBudget: DEFAULT_RETRY_BUDGET,
};
