/** Sends promotion orders and waits for the platform's replies. */
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import type {EpochLease} from './epoch_lease';
import type {ReplicationHold} from './replication_hold';
import type {OrderPromotion, PromotionReply} from './succession_row';

/**
 * Orders that are sent at once to fence one for another target. Each may be
 * executed late by a time of its own, so the first of several overtakes the
 * earlier order more often than a single one.
 */
export const FENCING_ORDERS = 8;
/** Maximum number of times that so many are sent in a change. */
export const MAXIMUM_FENCING_ROUNDS = 4;

export interface OrderSenderOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly orderPromotion: OrderPromotion;
  /** True if the platform refuses orders with a lower epoch than an earlier one. */
  readonly arePromotionsFenced: boolean;
  onStep(step: string, target: string, epoch: number): void;
}

interface PendingOrder {
  readonly epoch: number;
  abandon(): void;
}

export interface OrderSender {
  /**
   * Sends orders for the recorded target, as many as epochs are left but at most
   * `count`. Waits until one is executed or all are answered, for some time and
   * while the target runs. Undefined if no epoch was left.
   */
  send(
    hold: ReplicationHold,
    lease: EpochLease,
    count: number,
  ): Task<PromotionReply | undefined>;
}

/**
 * A promotion order is usually answered within milliseconds. Without an answer
 * it may have been executed or lost, or may be executed seconds later.
 */
const PROMOTION_REPLY_TIMEOUT_MS: Milliseconds = 300;
/** The reply that tells most about several orders for one target. */
function combineReplies(replies: readonly PromotionReply[]): PromotionReply {
  const ranked: PromotionReply[] = ['done', 'unanswered', 'refused', 'fenced'];
  return ranked.find(reply => replies.includes(reply)) ?? 'unanswered';
}

export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const {runtime, group, self, onStep, arePromotionsFenced} = options;
  const {timer} = runtime;

  /** Orders without a reply. */
  const pending = new Set<PendingOrder>();

  function sendOrder(
    target: string,
    epoch: number,
    lease: EpochLease,
    onReply: (reply: PromotionReply) => void,
  ): void {
    onStep('promotion ordered', target, epoch);
    const {group: name} = group;
    const order = {group: name, target, holder: self, epoch};
    const abandoned = createDeferred<undefined>();
    const abandon = () => abandoned.settle(undefined);
    const cancelTimeout = arePromotionsFenced
      ? undefined
      : timer.after(lease.takeoverAt() - timer.now(), abandon);
    const entry = {epoch, abandon};
    pending.add(entry);
    options.orderPromotion(order, abandoned.future).onSettled(reply => {
      pending.delete(entry);
      cancelTimeout?.();
      onReply(reply);
    });
  }

  /**
   * Abandons earlier orders that must not arrive after one with this epoch. If
   * orders are fenced, the platform refuses them.
   */
  function abandonLower(epoch: number): void {
    if (!arePromotionsFenced) {
      [...pending]
        .filter(order => order.epoch < epoch)
        .forEach(order => order.abandon());
    }
  }

  /**
   * Epoch of the next of several orders that are sent at once. They arrive in any
   * order, so they share their epoch unless the platform refuses lower ones.
   */
  function nextEpoch(
    lease: EpochLease,
    target: string,
    lastEpoch: number | undefined,
  ): number | undefined {
    return arePromotionsFenced || lastEpoch === undefined
      ? lease.takeEpoch(target)
      : lastEpoch;
  }

  function* send(
    hold: ReplicationHold,
    lease: EpochLease,
    count: number,
  ): Task<PromotionReply | undefined> {
    const target = lease.target();
    const result = createDeferred<PromotionReply>();
    const replies: PromotionReply[] = [];
    let sent = 0;
    let lastEpoch: number | undefined;
    hold.setOrdered(target);
    for (; sent < count; sent++) {
      const epoch = nextEpoch(lease, target, lastEpoch);
      if (epoch === undefined) {
        break;
      }
      lastEpoch = epoch;
      abandonLower(epoch);
      sendOrder(target, epoch, lease, reply => {
        replies.push(reply);
        if (reply === 'done' || replies.length === sent) {
          result.settle(combineReplies(replies));
        }
      });
    }
    if (lastEpoch === undefined) {
      return undefined;
    }
    const reply = yield* awaitReply(result.future, hold, target);
    onStep(`promotion ${reply}`, target, lastEpoch);
    return reply;
  }

  /** Waits for a reply for some time, or until the ordered target is down. */
  function* awaitReply(
    pendingReply: Future<PromotionReply>,
    hold: ReplicationHold,
    target: string,
  ): Task<PromotionReply> {
    const reply = yield* hold.awaitHoldingUntil(
      pendingReply,
      timer.now() + PROMOTION_REPLY_TIMEOUT_MS,
      () => group.link(target)?.isDown() === true,
    );
    return reply ?? 'unanswered';
  }

  return {send};
}
