/**
 * Messages between named nodes in virtual time. A partition holds messages back
 * until it heals, like a TCP connection that retransmits.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/**
 * Delivers messages between nodes after a delay. The messages of a pair arrive
 * in order if the delay is constant and no partition begins during transit.
 */
export interface LinkNetwork {
  /**
   * Sends a message; `receive` is called when it arrives. A message held back
   * by a partition is dropped if `isReset` returns true when the partition
   * heals: the sender has reset the connection by then.
   */
  deliver(
    from: string,
    to: string,
    receive: () => void,
    isReset?: () => boolean,
  ): void;
  partition(left: string, right: string): void;
  heal(left: string, right: string): void;
  healAll(): void;
  isPartitioned(left: string, right: string): boolean;
}

function pairOf(left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Creates a network without partitions. */
export function createLinkNetwork(
  timer: TimerService,
  delay: (from: string, to: string) => Milliseconds,
): LinkNetwork {
  const heldMessages = new Map<string, Array<() => void>>();

  function deliver(
    from: string,
    to: string,
    receive: () => void,
    isReset: () => boolean = () => false,
  ): void {
    function resend(): void {
      if (!isReset()) {
        deliver(from, to, receive, isReset);
      }
    }

    /**
     * Receives the message, or holds it back if a partition began while it was
     * in transit.
     */
    function arrive(): void {
      const waiting = heldMessages.get(pairOf(from, to));
      if (waiting === undefined) {
        receive();
      } else {
        waiting.push(resend);
      }
    }

    const waiting = heldMessages.get(pairOf(from, to));
    if (waiting === undefined) {
      timer.after(delay(from, to), arrive);
    } else {
      waiting.push(resend);
    }
  }

  function healPair(pair: string): void {
    const waiting = heldMessages.get(pair) ?? [];
    heldMessages.delete(pair);
    waiting.forEach(send => send());
  }

  return {
    deliver,
    partition(left, right) {
      const pair = pairOf(left, right);
      heldMessages.set(pair, heldMessages.get(pair) ?? []);
    },
    heal: (left, right) => healPair(pairOf(left, right)),
    healAll: () => [...heldMessages.keys()].forEach(healPair),
    isPartitioned: (left, right) => heldMessages.has(pairOf(left, right)),
  };
}
