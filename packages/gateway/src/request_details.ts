/** What the end of a request is reported with. */
import type {SessionStatement} from '@kelpstep/statements';

import type {CallerRoute, SessionAdmission} from './configuration';
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

/** Reason of a request that is answered without its result. */
const CUT_OFF = 'cut off';

/** What the report of such a request needs of its session's transaction. */
export interface OpenTransaction {
  readonly pinned: {readonly target: string};
  readonly via: string;
  readonly route: CallerRoute;
  readonly account: string | undefined;
  readonly hasWritten: boolean;
}

/** Details of a request that the end of the process leaves without a result. */
export function describeCutOff(
  {kind}: SessionStatement,
  admission: SessionAdmission,
  transaction: OpenTransaction | undefined,
): RequestDetails {
  const admitted = admission.kind === 'admitted' ? admission : undefined;
  const route = transaction?.route ?? admitted?.route;
  return {
    group: route?.group ?? '',
    account: transaction?.account ?? admitted?.account?.name ?? '',
    kind: `${route?.freshness ?? ''} ${kind}`,
    target: transaction?.pinned.target ?? '',
    attempts: 0,
    via: transaction?.via ?? '',
    reason: CUT_OFF,
    isWrite: kind === 'commit' && transaction?.hasWritten === true,
  };
}
