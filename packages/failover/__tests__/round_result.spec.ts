import {expect} from 'earl';
import {describe, test} from 'node:test';

import {evaluateRound} from '..';
import {statusAt} from './statuses';

const primary = statusAt('a', 9, {role: 'primary'});

describe('a read round', () => {
  test('gives the primary log end once a majority answered its term', () => {
    const result = evaluateRound([primary, statusAt('b', 4)], 3);
    expect(result).toEqual({
      term: 5,
      primary: 'a',
      end: {term: 5, position: 9},
    });
  });

  test('gives nothing without the primary or without a majority', () => {
    const replicas = [statusAt('b', 9), statusAt('c', 9)];
    expect(evaluateRound(replicas, 3)).toEqual(undefined);
    expect(evaluateRound([primary], 3)).toEqual(undefined);
  });

  test('gives nothing from a primary whose replicas were fenced', () => {
    const fenced = statusAt('b', 9, {term: 6});
    expect(evaluateRound([primary, fenced], 3)).toEqual(undefined);
  });

  test('does not count members that may have forgotten a fence', () => {
    const empty = statusAt('b', 0);
    const catchingUp = statusAt('b', 3, {catchingUp: true});
    expect(evaluateRound([primary, empty], 3)).toEqual(undefined);
    expect(evaluateRound([primary, catchingUp], 3)).toEqual(undefined);
  });
});
