/** What the end of a request is reported with. */
import type {SessionAdmission} from './configuration';
import type {DispatchResult} from './dispatch_types';
import type {RequestEnd} from './gateway_events';

export type AdmittedSession = Extract<SessionAdmission, {kind: 'admitted'}>;

export type RequestDetails = Pick<
  RequestEnd,
  | 'group'
  | 'account'
  | 'kind'
  | 'target'
  | 'attempts'
  | 'reason'
  | 'via'
  | 'isWrite'
>;

/** Details of a request that no target or peer took part in. */
export const LOCAL_REQUEST: RequestDetails = {
  group: '',
  account: '',
  kind: 'local',
  target: '',
  attempts: 0,
  reason: '',
  via: '',
};

/** Details of a request that ended with `result`. */
export function describeRequest(
  {route, account}: AdmittedSession,
  {target, attempts, reason, via}: DispatchResult,
  kind: string,
  isWrite: boolean,
): RequestDetails {
  return {
    group: route.group,
    account: account?.name ?? '',
    kind: `${route.freshness} ${kind}`,
    target,
    attempts,
    reason,
    via,
    isWrite,
  };
}
