/** Simulates the path of promotion orders to the platform. */
import {
  type Future,
  type Milliseconds,
  type TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import type {PromotionOrder, PromotionReply} from '@kelpstep/succession';

/** How promotion orders reach the platform, and when it answers them. */
export interface PromotionPath {
  /** Time for an order to arrive; each has a connection of its own. */
  arrivalDelay(): Milliseconds;
  /** Time from the arrival of an order to its answer. */
  readonly answerTime: Milliseconds;
  onArrival(order: PromotionOrder): void;
}

/**
 * Sends an order, which is executed when it arrives. It does not arrive if it is
 * abandoned before.
 */
export function sendOnPath(
  timer: TimerService,
  path: PromotionPath,
  order: PromotionOrder,
  abandoned: Future<undefined>,
  execute: () => boolean,
): Future<PromotionReply> {
  const result = createDeferred<PromotionReply>();
  const cancelArrival = timer.after(path.arrivalDelay(), () => {
    path.onArrival(order);
    const reply = execute() ? 'done' : 'fenced';
    timer.after(path.answerTime, () => result.settle(reply));
  });
  abandoned.onSettled(() => {
    cancelArrival();
    result.settle('unanswered');
  });
  return result.future;
}
