import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type SuccessorCandidate,
  chooseSuccessor,
} from '../src/choose_successor';

function stopped(
  target: string,
  position: number,
  isLeaving = false,
): SuccessorCandidate {
  const received = {term: 1, position};
  return {target, received, isLeaving, dataCentre: 'x'};
}

describe('the successor of a lost primary', () => {
  test('is the replica with the longest log', () => {
    const choice = {
      stopped: [stopped('a', 4), stopped('b', 7)],
      unanswered: 0,
      demotedLogEnd: undefined,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });

  test('is not selected while a replica has not answered', () => {
    const choice = {
      stopped: [stopped('a', 4)],
      unanswered: 1,
      demotedLogEnd: undefined,
    };
    expect(chooseSuccessor(choice)).toEqual(undefined);
  });

  test('is a leaving replica if no other holds the last commit', () => {
    const choice = {
      stopped: [stopped('a', 4), stopped('b', 7, true)],
      unanswered: 0,
      demotedLogEnd: undefined,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });
});

describe('the successor of a demoted primary', () => {
  const demotedLogEnd = {term: 1, position: 7};

  test('has reached its log end, even if another does not answer', () => {
    const choice = {
      stopped: [stopped('a', 6), stopped('b', 7)],
      unanswered: 1,
      demotedLogEnd,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });

  test('is not selected until a replica has reached its log end', () => {
    const choice = {stopped: [stopped('a', 6)], unanswered: 0, demotedLogEnd};
    expect(chooseSuccessor(choice)).toEqual(undefined);
  });

  test('is not a leaving replica if another has reached its log end', () => {
    const choice = {
      stopped: [stopped('a', 8, true), stopped('b', 7)],
      unanswered: 0,
      demotedLogEnd,
    };
    expect(chooseSuccessor(choice)?.target).toEqual('b');
  });
});
