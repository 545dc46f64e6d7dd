import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createGossipQueue} from '../src/gossip_queue';

describe('a gossip queue', () => {
  test('sends the least often sent items first, a bounded number of times', () => {
    const timer = createVirtualTimer();
    const queue = createGossipQueue<string>({
      timer,
      itemsPerMessage: 1,
      transmissions: () => 2,
      lifetime: 100,
    });
    queue.add('a', 'a1');
    queue.add('b', 'b1');
    expect(queue.take()).toEqual(['a1']);
    expect(queue.take(new Set(['b']))).toEqual(['a1']);
    expect([queue.take(), queue.take(), queue.take()]).toEqual([
      ['b1'],
      ['b1'],
      [],
    ]);
    queue.add('a', 'a2');
    timer.advance(200);
    expect(queue.take()).toEqual([]);
    expect(queue.size()).toEqual(0);
  });
});
