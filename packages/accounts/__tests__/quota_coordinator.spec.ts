import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type QuotaOutcome,
  createQuotaCoordinator,
} from '../src/quota_coordinator';

const LIMIT = {account: 'office', version: 1, rate: 1, burst: 5};
const FILL_TIME_MS = 10_000;

/** A coordinator with a long lease and an empty bucket. */
function createCoordinator(processId: string) {
  const virtualTimer = createVirtualTimer();
  let suspendedFor = 0;
  const timer = {
    ...virtualTimer,
    wallClock: () => virtualTimer.wallClock() + suspendedFor,
  };
  const outcomes: Array<`${number} ${QuotaOutcome}`> = [];
  const coordinator = createQuotaCoordinator({
    timer,
    processId: () => processId,
    limitOf: () => undefined,
    startAllowance: () => 0,
    onAnswer: (priority, outcome) => outcomes.push(`${priority} ${outcome}`),
  });

  /** Leases all shares; the bucket starts empty. */
  function lease(): void {
    coordinator.addLease({lender: 'a', part: 1, until: Infinity});
  }

  function takeAll(): {count: number; process: string; time: number} {
    let count = 0;
    for (;;) {
      const answer = coordinator.take(LIMIT, 0);
      if (answer.kind === 'refused') {
        const {process, time} = coordinator.readClock();
        return {count, process, time};
      }
      count += 1;
    }
  }

  function suspend(): void {
    suspendedFor += 5000;
  }

  lease();
  return {...coordinator, timer, outcomes, lease, takeAll, suspend};
}

/** Takes all operations of a full bucket. */
function takeBurst(coordinator: ReturnType<typeof createCoordinator>) {
  coordinator.takeAll();
  coordinator.timer.advance(FILL_TIME_MS);
  const granted = coordinator.takeAll();
  expect(granted.count).toEqual(LIMIT.burst);
  return granted;
}

describe('a returned operation', () => {
  test('is granted again by the process that granted it', () => {
    const coordinator = createCoordinator('first');
    const granted = takeBurst(coordinator);
    coordinator.timer.advance(100);
    coordinator.giveBack(LIMIT, 1, {...granted, priority: 2});
    expect(coordinator.takeAll().count).toEqual(2);
    expect(coordinator.outcomes.includes('2 returned')).toEqual(true);
  });

  // The empty bucket of the new process would hold the returned operations.
  test('is not accepted after a restart of the coordinator', () => {
    const granted = takeBurst(createCoordinator('first'));
    const {takeAll, giveBack, timer, outcomes} = createCoordinator('second');
    timer.advance(FILL_TIME_MS);
    takeAll();
    giveBack(LIMIT, 5, {...granted, priority: 0});
    expect(takeAll().count).toEqual(0);
    expect(outcomes.includes('0 returned')).toEqual(false);
  });

  // The process keeps running and its clock continues, but its leases may have
  // expired: others may have used the shares.
  test('is not accepted after a suspension of the coordinator', () => {
    const coordinator = createCoordinator('first');
    const granted = takeBurst(coordinator);
    coordinator.suspend();
    coordinator.lease();
    coordinator.takeAll();
    coordinator.giveBack(LIMIT, 5, {...granted, priority: 0});
    expect(coordinator.takeAll().count).toEqual(0);
  });
});
