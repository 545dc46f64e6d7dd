/** Policies that the bench compares, by name. */
import {
  FIRST_COME_FIRST_SERVED,
  createUnlimitedConcurrency,
} from '@kelpstep/pool';
import {
  RequestPolicies,
  readFromRandom,
  readFromPrimary,
} from '@kelpstep/routing';

/** Overrides of the default policies, by name. */
export const NAMED_POLICIES = {
  default: {},
  'first-come': {queue: FIRST_COME_FIRST_SERVED},
  'no-limit': {
    queue: FIRST_COME_FIRST_SERVED,
    createConcurrencyLimit: createUnlimitedConcurrency,
  },
  'read-primary': {read: readFromPrimary},
  'read-any': {read: readFromRandom},
} as const satisfies Readonly<Record<string, Partial<RequestPolicies>>>;

export type PolicyName = keyof typeof NAMED_POLICIES;

export const POLICY_NAMES = Object.keys(NAMED_POLICIES) as PolicyName[];
