import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type QueuedRequest,
  type StartConditions,
  VALUE_PER_SLOT_TIME,
  createAdmissionQueue,
  createFairShares,
} from '..';

let arrivals = 0;

function createRequest(
  account: string | undefined,
  change: Partial<QueuedRequest> = {},
): QueuedRequest {
  const order = arrivals++;
  return {account, worth: 1, expected: 6, deadline: 800, order, ...change};
}

const NO_CONDITIONS: StartConditions<QueuedRequest> = {
  setupTime: () => 0,
  isHeld: () => false,
};

/** Starts all requests and returns their accounts in the order of starts. */
function drain(
  shares: ReturnType<typeof createFairShares>,
  requests: readonly QueuedRequest[],
  conditions = NO_CONDITIONS,
): Array<string | undefined> {
  const waiting = shares.order(requests);
  const accounts: Array<string | undefined> = [];
  while (waiting.length > 0) {
    const next = shares.select(waiting, conditions);
    if (next === undefined) {
      break;
    }
    waiting.splice(waiting.indexOf(next), 1);
    shares.recordStart(next);
    accounts.push(next.account);
  }
  return accounts;
}

describe('fair shares', () => {
  // Guards against a hot account that delays all others.
  test('start one account in turn with another that has more requests', () => {
    const shares = createFairShares(VALUE_PER_SLOT_TIME);
    const requests = ['a', 'a', 'a', 'a', 'b', 'b'].map(each =>
      createRequest(each),
    );
    expect(drain(shares, requests)).toEqual(['a', 'b', 'a', 'b', 'a', 'a']);
  });

  test('give slot time in proportion to worth', () => {
    const shares = createFairShares(VALUE_PER_SLOT_TIME);
    const worths = {a: 1, b: 1 / 2};
    const requests = (['a', 'b'] as const).flatMap(account =>
      Array.from({length: 20}, () =>
        createRequest(account, {worth: worths[account]}),
      ),
    );
    const first = drain(shares, requests).slice(0, 18);
    expect(first.filter(account => account === 'a').length).toEqual(12);
  });

  // Guards against idle time that counts as credit.
  test('give an account that was idle no more than its turn', () => {
    const shares = createFairShares(VALUE_PER_SLOT_TIME);
    drain(
      shares,
      ['a', 'a', 'a', 'a'].map(each => createRequest(each)),
    );
    const requests = ['b', 'b', 'b', 'a', 'a'].map(each => createRequest(each));
    expect(drain(shares, requests)).toEqual(['b', 'b', 'a', 'b', 'a']);
  });

  // Guards against an account that is passed over for ever, because others
  // always have an open connection.
  test('start an account that needs a connection after a few others', () => {
    const shares = createFairShares(VALUE_PER_SLOT_TIME);
    const requests = ['b', ...Array<string>(9).fill('a')].map(each =>
      createRequest(each),
    );
    const accounts = drain(shares, requests, {
      ...NO_CONDITIONS,
      setupTime: ({account}) => (account === 'b' ? 12 : 0),
    });
    expect(accounts.indexOf('b')).toEqual(2);
  });

  test('keep a bounded number of accounts', () => {
    const shares = createFairShares(VALUE_PER_SLOT_TIME);
    for (let count = 0; count < 5000; count++) {
      shares.recordStart(createRequest(`account-${count}`));
    }
    expect(shares.size()).toBeLessThanOrEqual(1000);
  });
});

describe('a queue of requests without accounts', () => {
  test('has the order of its policy', () => {
    const queue = createAdmissionQueue<QueuedRequest>({
      timer: createVirtualTimer(),
      policy: VALUE_PER_SLOT_TIME,
      capacity: 100,
      slotTimeInFlight: () => 0,
      parallelism: () => 100,
      onRefused: () => {},
    });
    const requests = Array.from({length: 40}, (unused, index) =>
      createRequest(undefined, {
        worth: 1 + (index % 3),
        expected: 1 + (index % 7),
      }),
    );
    requests.forEach(queue.add);
    const taken = requests.map(() => queue.take());
    expect(taken).toEqual(requests.sort(VALUE_PER_SLOT_TIME.compare));
  });
});
