/** Takes operations from quotas, and refuses those for which none is left. */
import type {Quota, QuotaGrant} from '@kelpstep/accounts';
import type {Task} from '@kelpstep/runtime';
import type {StatementAnswer} from '@kelpstep/statements';

import {refusalAnswer} from './dispatch_types';
import {
  type AdmittedSession,
  LOCAL_REQUEST,
  type RequestDetails,
} from './request_details';

const OVER_QUOTA = 'over quota';

/**
 * Takes one operation from the account's quota; returns the refusal if the
 * quota is exhausted, and undefined without an account.
 */
export function* takeFromQuota(
  quota: Pick<Quota, 'take'>,
  {route, account}: AdmittedSession,
): Task<QuotaGrant | [StatementAnswer, RequestDetails] | undefined> {
  if (account === undefined) {
    return undefined;
  }
  const reply = yield* quota.take(account.name, route.priority);
  if (reply.kind === 'granted') {
    return reply;
  }
  const details = {
    ...LOCAL_REQUEST,
    group: route.group,
    account: account.name,
  };
  return [
    refusalAnswer(OVER_QUOTA, reply.retryAfter),
    {...details, kind: route.freshness, reason: OVER_QUOTA},
  ];
}
