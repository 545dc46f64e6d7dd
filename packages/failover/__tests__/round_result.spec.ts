import {expect} from 'earl';
import {describe, test} from 'node:test';

import {evaluateRound} from '..';
import {statusAt} from './statuses';

const primary = statusAt('a', 9, {role: 'primary'});

describe('a read round', () => {
  test('returns the end of the primary log if a majority has its term', () => {
    const result = evaluateRound([primary, statusAt('b', 4)], 3);
    expect(result).toEqual({
      term: 5,
      primary: 'a',
      end: {term: 5, position: 9},
    });
  });

  test('fails without the primary or without a majority', () => {
    const replicas = [statusAt('b', 9), statusAt('c', 9)];
    expect(evaluateRound(replicas, 3)).toEqual(undefined);
    expect(evaluateRound([primary], 3)).toEqual(undefined);
  });

  test('fails if replicas are fenced at a higher term', () => {
    const fenced = statusAt('b', 9, {term: 6});
    expect(evaluateRound([primary, fenced], 3)).toEqual(undefined);
  });

  test('does not count members that may have lost a fence', () => {
    const empty = statusAt('b', 0);
    const catchingUp = statusAt('b', 3, {catchingUp: true});
    expect(evaluateRound([primary, empty], 3)).toEqual(undefined);
    expect(evaluateRound([primary, catchingUp], 3)).toEqual(undefined);
  });
});
