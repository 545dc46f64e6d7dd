/** Sends callers' requests to proxies over a simulated link with latency. */
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

/** A proxy to which callers can send requests. */
export interface ReachableProxy {
  readonly name: string;
  /** Timer of the process: stopped with it, and defers calls while frozen. */
  readonly process: HostTimer;
  readonly handlers: HandlerTable;
}

/** An answer, or `lost` if none arrived in time. */
export type CallerReply = Reply<unknown> | 'lost';

/** Time after the deadline during which a caller still accepts an answer. */
const RESPONSE_GRACE_MS: Milliseconds = 500;

/** Placeholder: handlers of caller requests do not use the peer. */
const NO_PEER = {} as RpcPeer;

/**
 * Sends a request; `latency` is one way, the deadline is in wall-clock time.
 */
export function callProxy(
  timer: TimerService,
  latency: Milliseconds,
  proxy: ReachableProxy,
  method: string,
  parameters: {readonly deadline: number} & Readonly<Record<string, unknown>>,
): Future<CallerReply> {
  const reply = createDeferred<CallerReply>();
  const timeout = parameters.deadline - timer.wallClock() + RESPONSE_GRACE_MS;
  const cancel = timer.after(timeout, () => reply.settle('lost'));
  timer.after(latency, () => {
    if (proxy.process.isStopped()) {
      answer(Err(createRefusal()));
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

function createRefusal(): Failure {
  return createFailure('NOT_READY', {message: 'Connection refused.'});
}
