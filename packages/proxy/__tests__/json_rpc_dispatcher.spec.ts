import {CALLER_METHODS, ERRORS, createFailure} from '@kelpstep/protocol';
import {createDeferred, settledFuture} from '@kelpstep/runtime';
import {Reply, createHandlerTable} from '@kelpstep/rpc';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';

import {EncodedResponse, createJsonRpcDispatcher} from '..';

const SEED = 7;
const RUNS = 2000;

function createFixture() {
  const calls: string[] = [];
  const held = createDeferred<Reply<{token: string}>>();
  const handlers = createHandlerTable()
    .handle(CALLER_METHODS.begin, ({group}) => {
      calls.push(group);
      return group === 'full'
        ? settledFuture(Err(createFailure('OVERLOADED', {retryAfter: 1500})))
        : settledFuture(Ok({transaction: group, token: ''}));
    })
    .handle(CALLER_METHODS.rollback, () => held.future)
    .handle(CALLER_METHODS.commit, () => {
      throw new Error('fault');
    });
  const dispatch = createJsonRpcDispatcher({handlers, maximumBatch: 3});

  function respondTo(body: string): EncodedResponse[] {
    const answers: EncodedResponse[] = [];
    dispatch(body, answer => answers.push(answer));
    return answers;
  }

  function answerTo(body: unknown) {
    const [answer] = respondTo(JSON.stringify(body));
    return JSON.parse(answer?.body ?? 'null');
  }

  return {calls, held, respondTo, answerTo};
}

function begin(id: unknown, group: unknown) {
  return {jsonrpc: '2.0', id, method: 'begin', params: {group}};
}

describe('the JSON-RPC dispatcher', () => {
  test('answers a request with the id of the request', () => {
    const {answerTo} = createFixture();
    expect(answerTo(begin('r1', 'a'))).toEqual({
      jsonrpc: '2.0',
      id: 'r1',
      result: {transaction: 'a', token: ''},
    });
  });

  test('answers every request of a batch, in any order', () => {
    const {respondTo, held} = createFixture();
    const rollback = {
      jsonrpc: '2.0',
      id: 1,
      method: 'rollback',
      params: {group: 'a', transaction: 't'},
    };
    const answers = respondTo(JSON.stringify([rollback, begin(2, 'b')]));
    expect(answers).toEqual([]);
    held.settle(Ok({token: 'late'}));
    const replies = JSON.parse(answers[0]?.body ?? 'null');
    expect(replies).toEqual([
      {jsonrpc: '2.0', id: 2, result: {transaction: 'b', token: ''}},
      {jsonrpc: '2.0', id: 1, result: {token: 'late'}},
    ]);
  });

  test('includes the time after which to retry', () => {
    const {respondTo} = createFixture();
    const [answer] = respondTo(JSON.stringify(begin(1, 'full')));
    expect(answer?.retryAfter).toEqual(1500);
    expect(JSON.parse(answer?.body ?? '').error.data.retryAfter).toEqual(1500);
  });

  test('reports the error of an invalid request and that it was not run', () => {
    const {respondTo, calls} = createFixture();
    const wrong: Array<[string, keyof typeof ERRORS]> = [
      ['{"jsonrpc":', 'PARSE_ERROR'],
      ['', 'PARSE_ERROR'],
      ['7', 'INVALID_REQUEST'],
      ['[]', 'INVALID_REQUEST'],
      [JSON.stringify(Array(4).fill(begin(1, 'a'))), 'INVALID_REQUEST'],
      [JSON.stringify(begin(undefined, 'a')), 'INVALID_REQUEST'],
      [JSON.stringify({...begin(1, 'a'), jsonrpc: '1'}), 'INVALID_REQUEST'],
      ['{"jsonrpc":"2.0","id":1,"method":"x"}', 'METHOD_NOT_FOUND'],
      ['{"jsonrpc":"2.0","id":1,"method":"toString"}', 'METHOD_NOT_FOUND'],
      [JSON.stringify(begin(1, 7)), 'INVALID_PARAMETERS'],
    ];
    for (const [body, name] of wrong) {
      const {error} = JSON.parse(respondTo(body)[0]?.body ?? 'null');
      expect([body, error.code]).toEqual([body, ERRORS[name].code]);
      expect(error.data.name).toEqual(name);
      expect(error.data.outcome).toEqual('not_run');
    }
    expect(calls).toEqual([]);
  });

  test('reports an unknown outcome when a handler throws', () => {
    const {answerTo} = createFixture();
    const params = {group: 'a', transaction: 't'};
    const {error} = answerTo({...begin(1, 'a'), method: 'commit', params});
    expect(error.data.name).toEqual('INTERNAL_ERROR');
    expect(error.data.outcome).toEqual('unknown');
  });

  test('answers any text exactly once in JSON-RPC and never throws', () => {
    const {respondTo} = createFixture();
    const odd = fc.oneof(
      fc.string(),
      fc.json(),
      fc
        .record(
          {
            jsonrpc: fc.constantFrom('2.0', '1', 2),
            id: fc.oneof(fc.integer(), fc.string(), fc.jsonValue()),
            method: fc.constantFrom('begin', '__proto__', 'read', ''),
            params: fc.jsonValue(),
          },
          {requiredKeys: []},
        )
        .map(value => JSON.stringify(value)),
    );
    fc.assert(
      fc.property(odd, body => {
        const answers = respondTo(body);
        expect(answers.length).toEqual(1);
        const parsed = JSON.parse(answers[0]?.body ?? '');
        for (const reply of [parsed].flat()) {
          expect(reply.jsonrpc).toEqual('2.0');
          expect('result' in reply).toEqual(!('error' in reply));
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
