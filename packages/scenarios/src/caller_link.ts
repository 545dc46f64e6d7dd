/** Requests of callers to proxies over a link with latency and faults. */
import {Failure, createFailure} from '@kelpstep/protocol';
import type {HandlerTable, Reply, RpcPeer} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import type {HostTimer} from '@kelpstep/stand-ins';
import {Err} from 'ts-results';

/** A proxy as a caller reaches it. */
export interface ReachableProxy {
  readonly name: string;
  /** The process's timer: tells whether it runs, and holds calls back. */
  readonly process: HostTimer;
  readonly handlers: HandlerTable;
}

/** An answer, or `lost`: the connection broke or nothing came in time. */
export type CallerReply = Reply<unknown> | 'lost';

/** Time after its deadline that a caller goes on listening. */
const PATIENCE: Milliseconds = 500;

/** Callers' handlers do not use the peer. */
const NO_PEER = {} as RpcPeer;

/** Sends a request and settles with its answer. */
export function callProxy(
  timer: TimerService,
  latency: Milliseconds,
  proxy: ReachableProxy,
  method: string,
  parameters: {readonly deadline: number} & Readonly<Record<string, unknown>>,
): Future<CallerReply> {
  const reply = createDeferred<CallerReply>();
  const patience = parameters.deadline - timer.wallClock() + PATIENCE;
  const cancel = timer.after(patience, () => reply.settle('lost'));
  timer.after(latency, () => {
    if (proxy.process.isStopped()) {
      answer(Err(refused()));
    } else {
      proxy.process.run(dispatch);
    }
  });

  function dispatch(): void {
    proxy.handlers
      .dispatch(method, parameters, NO_PEER)
      .onSettled(result => timer.after(latency, () => answer(result)));
  }

  function answer(result: Reply<unknown>): void {
    if (reply.settle(result)) {
      cancel();
    }
  }

  return reply.future;
}

function refused(): Failure {
  return createFailure('NOT_READY', {message: 'Connection refused.'});
}
