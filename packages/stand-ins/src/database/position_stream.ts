/** Streams the log position of a target to its subscribers. */
import {TargetStatus, targetPositions} from '@kelpstep/protocol';
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';
import type {RpcPeer} from '@kelpstep/rpc';

/** Schedules an action to run after the current turn of the event loop. */
export type Defer = (action: () => void) => void;

/** Sends `target.positions` notifications. */
export interface PositionStream {
  /** Starts the stream to a peer, or changes its heartbeat interval. */
  subscribe(peer: RpcPeer, heartbeat: Milliseconds): void;
  /** Reports a change; the changes of one turn share one notification. */
  scheduleUpdate(): void;
}

export interface PositionStreamOptions {
  readonly timer: TimerService;
  readonly defer: Defer;
  readonly status: () => TargetStatus;
}

/** Creates a stream with no subscribers. */
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

  function scheduleUpdate(): void {
    if (!scheduled && subscribers.size > 0) {
      scheduled = true;
      defer(flush);
    }
  }

  return {subscribe, scheduleUpdate};
}
