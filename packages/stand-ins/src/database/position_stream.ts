/** Streams of the target's log position to those who subscribed. */
import {TargetStatus, targetPositions} from '@kelpstep/protocol';
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';
import type {RpcPeer} from '@kelpstep/rpc';

/** Runs an action soon, after the work of this turn. */
export type Defer = (action: () => void) => void;

/** Sends `target.positions`. */
export interface PositionStream {
  /** Starts, or restarts with another heartbeat, the stream to a peer. */
  subscribe(peer: RpcPeer, heartbeat: Milliseconds): void;
  /** Sends one notification for all changes of this turn. */
  changed(): void;
}

/** What a stream is made of. */
export interface PositionStreamOptions {
  readonly timer: TimerService;
  readonly defer: Defer;
  readonly status: () => TargetStatus;
}

/** Creates a stream without subscribers. */
export function createPositionStream(
  options: PositionStreamOptions,
): PositionStream {
  const {timer, defer, status} = options;
  const subscribers = new Map<RpcPeer, Unsubscribe>();
  let scheduled = false;

  function notify(peer: RpcPeer): void {
    peer.notify(targetPositions.name, status());
  }

  function end(peer: RpcPeer): void {
    subscribers.get(peer)?.();
    subscribers.delete(peer);
  }

  function subscribe(peer: RpcPeer, heartbeat: Milliseconds): void {
    const isNew = !subscribers.has(peer);
    end(peer);
    subscribers.set(
      peer,
      timer.every(heartbeat, () => notify(peer)),
    );
    notify(peer);
    if (isNew) {
      peer.closed.onSettled(() => end(peer));
    }
  }

  function flush(): void {
    scheduled = false;
    for (const peer of subscribers.keys()) {
      notify(peer);
    }
  }

  function changed(): void {
    if (!scheduled && subscribers.size > 0) {
      scheduled = true;
      defer(flush);
    }
  }

  return {subscribe, changed};
}
