import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type StoppedTarget, chooseSuccessor} from '../src/choose_successor';

function stopped(
  target: string,
  position: number,
  isLeaving = false,
): StoppedTarget {
  const received = {term: 1, position};
  return {target, received, isLeaving, dataCentre: 'x'};
}

describe('the successor of a lost primary', () => {
  test('is the replica with the longest log', () => {
    const choice = {
      stopped: [stopped('a', 4), stopped('b', 7)],
      unanswered: 0,
      demotedAt: undefined,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });

  test('is nobody while a replica has not answered', () => {
    const choice = {
      stopped: [stopped('a', 4)],
      unanswered: 1,
      demotedAt: undefined,
    };
    expect(chooseSuccessor(choice)).toEqual(undefined);
  });

  test('is a leaving replica if only that holds the last commit', () => {
    const choice = {
      stopped: [stopped('a', 4), stopped('b', 7, true)],
      unanswered: 0,
      demotedAt: undefined,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });
});

describe('the successor of a demoted primary', () => {
  const demotedAt = {term: 1, position: 7};

  test('has reached its log end, whoever else is silent', () => {
    const choice = {
      stopped: [stopped('a', 6), stopped('b', 7)],
      unanswered: 1,
      demotedAt,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });

  test('is nobody before one has', () => {
    const choice = {stopped: [stopped('a', 6)], unanswered: 0, demotedAt};
    expect(chooseSuccessor(choice)).toEqual(undefined);
  });

  test('is one that stays, if any has reached it', () => {
    const choice = {
      stopped: [stopped('a', 8, true), stopped('b', 7)],
      unanswered: 0,
      demotedAt,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });
});
