import {
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {EpochLease} from '../src/epoch_lease';
import {createOrderSender} from '../src/order_sender';
import {createReplicationHold} from '../src/replication_hold';
import type {PromotionOrder, PromotionReply} from '../src/succession_row';

/** Longer than the sender waits for a reply. */
const REPLY_WAIT_MS = 400;
const TAKEOVER_MS = 2500;

/** Sends orders that are never answered, unless by `answer`. */
function setUp(arePromotionsFenced: boolean) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const group = {
    group: 'g',
    links: () => [],
    link: () => undefined,
  } as unknown as TargetGroup;
  const sent: Array<{
    readonly epoch: PromotionOrder['epoch'];
    isAbandoned: boolean;
    answer(reply: PromotionReply): void;
  }> = [];
  const hold = createReplicationHold({
    runtime,
    group,
    readStatus: () => undefined,
    primary: undefined,
    highestTerm: 1,
    newestTerm: 1,
  });
  let epoch = 0;
  const lease = {
    target: () => 'a',
    takeEpoch: () => ++epoch,
    takeoverAt: () => TAKEOVER_MS,
  } as unknown as EpochLease;
  const sender = createOrderSender({
    runtime,
    self: 'p',
    group,
    arePromotionsFenced,
    onStep: () => {},
    orderPromotion(order, abandoned) {
      const reply = createDeferred<PromotionReply>();
      const entry = {
        epoch: order.epoch,
        isAbandoned: false,
        answer: (answer: PromotionReply) => reply.settle(answer),
      };
      abandoned.onSettled(() => (entry.isAbandoned = true));
      sent.push(entry);
      return reply.future;
    },
  });
  return {
    timer,
    sent,
    send(count: number) {
      runtime.spawn('send', sender.send(hold, lease, count));
      timer.advance(REPLY_WAIT_MS);
    },
    abandoned: () => sent.map(({isAbandoned}) => isAbandoned),
  };
}

describe('promotion orders that nothing fences', () => {
  // Guards against orders that arrive after one with a higher epoch.
  test('share their epoch if they are sent at once', () => {
    const {send, sent} = setUp(false);
    send(3);
    send(2);
    expect(sent.map(({epoch}) => epoch)).toEqual([1, 1, 1, 2, 2]);
  });

  test('are abandoned before one with a higher epoch is sent', () => {
    const {send, sent, abandoned} = setUp(false);
    send(2);
    expect(abandoned()).toEqual([false, false]);
    sent[1]?.answer('done');
    send(1);
    expect(abandoned()).toEqual([true, false, false]);
  });

  // Guards against orders that arrive after those of the next holder.
  test('are abandoned once another proxy may take the change over', () => {
    const {send, timer, abandoned} = setUp(false);
    send(1);
    timer.advance(TAKEOVER_MS - REPLY_WAIT_MS - 1);
    expect(abandoned()).toEqual([false]);
    timer.advance(1);
    expect(abandoned()).toEqual([true]);
  });
});

describe('promotion orders that are fenced', () => {
  test('have epochs of their own and are not abandoned', () => {
    const {send, sent, timer, abandoned} = setUp(true);
    send(3);
    send(1);
    timer.advance(TAKEOVER_MS);
    expect(sent.map(({epoch}) => epoch)).toEqual([1, 2, 3, 4]);
    expect(abandoned().includes(true)).toEqual(false);
  });
});
