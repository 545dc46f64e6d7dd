import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createExhaustedCoordinators} from '../src/exhausted_coordinators';

const REQUEST = {coordinator: 'a', account: 'office', priority: 1};

function createMemory(limit = {rate: 10, burst: 10}) {
  const memory = createExhaustedCoordinators();
  memory.recordRefusal(REQUEST, limit, 400, 0);
  const refusalAt = (priority: number, now: number) =>
    memory.refusalOf({...REQUEST, priority}, now);
  return {...memory, refusalAt};
}

describe('the memory of exhausted coordinators', () => {
  test('says nothing about priorities above the refused one', () => {
    const {refusalAt} = createMemory();
    const known = [0, 1, 2].map(priority => refusalAt(priority, 100));
    expect(known).toEqual([undefined, 400, 400]);
  });

  test('ends before half of a small bucket has filled', () => {
    const {refusalAt} = createMemory({rate: 100, burst: 10});
    expect(refusalAt(1, 49)).toEqual(400);
    expect(refusalAt(1, 50)).toEqual(undefined);
  });

  test('ends in time, and with a grant at the same or a lower priority', () => {
    const {refusalAt, recordGrant} = createMemory();
    expect(refusalAt(1, 200)).toEqual(undefined);
    recordGrant({...REQUEST, priority: 0});
    expect(refusalAt(1, 100)).toEqual(400);
    recordGrant({...REQUEST, priority: 2});
    expect(refusalAt(1, 100)).toEqual(undefined);
  });
});
