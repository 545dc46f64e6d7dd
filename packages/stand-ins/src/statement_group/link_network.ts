/**
 * Messages between named places in virtual time. A cut holds messages back; they
 * arrive when it heals, as on a connection that sends again.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Delivers messages with a delay, in order for each pair of places. */
export interface LinkNetwork {
  /**
   * What a cut holds back is lost if `isReset` is true once it heals: the sender
   * has reset the connection.
   */
  deliver(
    from: string,
    to: string,
    receive: () => void,
    isReset?: () => boolean,
  ): void;
  cut(left: string, right: string): void;
  heal(left: string, right: string): void;
  healAll(): void;
  isCut(left: string, right: string): boolean;
}

function pairOf(left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Creates a network without cuts. */
export function createLinkNetwork(
  timer: TimerService,
  delay: (from: string, to: string) => Milliseconds,
): LinkNetwork {
  const held = new Map<string, Array<() => void>>();

  function deliver(
    from: string,
    to: string,
    receive: () => void,
    isReset: () => boolean = () => false,
  ): void {
    function sendAgain(): void {
      if (!isReset()) {
        deliver(from, to, receive, isReset);
      }
    }

    /** A cut that began on the way holds the message too. */
    function arrive(): void {
      const waiting = held.get(pairOf(from, to));
      if (waiting === undefined) {
        receive();
      } else {
        waiting.push(sendAgain);
      }
    }

    const waiting = held.get(pairOf(from, to));
    if (waiting === undefined) {
      timer.after(delay(from, to), arrive);
    } else {
      waiting.push(sendAgain);
    }
  }

  function healPair(pair: string): void {
    const waiting = held.get(pair) ?? [];
    held.delete(pair);
    waiting.forEach(send => send());
  }

  return {
    deliver,
    cut(left, right) {
      const pair = pairOf(left, right);
      held.set(pair, held.get(pair) ?? []);
    },
    heal: (left, right) => healPair(pairOf(left, right)),
    healAll: () => [...held.keys()].forEach(healPair),
    isCut: (left, right) => held.has(pairOf(left, right)),
  };
}
