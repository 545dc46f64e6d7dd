import {CALLER_METHODS, ErrorName} from '@kelpstep/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';

import {createJsonRpcDispatcher} from '..';
import {GROUP, startVirtualProxies} from './virtual_proxies';

const SEED = 11;
const RUNS = 300;
const STATEMENT = {text: 'append ? ?', parameters: ['list', 1]};
const {write} = CALLER_METHODS;

function startProxy() {
  const system = startVirtualProxies();
  const {a, call, commit, waitUntil, timer} = system;
  commit(0).unwrap();
  const first = {group: GROUP, statement: STATEMENT, token: ''};
  waitUntil(() => call(a.callerHandlers, write, first).ok);
  const dispatch = createJsonRpcDispatcher({
    handlers: a.callerHandlers,
    maximumBatch: 10,
  });

  function answerTo(method: string, params: unknown) {
    const bodies: string[] = [];
    const request = {jsonrpc: '2.0', id: 1, method, params};
    dispatch(JSON.stringify(request), ({body}) => bodies.push(body));
    timer.runUntil(() => bodies.length > 0, 60_000);
    return JSON.parse(bodies[0] ?? 'null');
  }

  /** Returns the number of writes that the primary has run so far. */
  function entries(): number {
    const counts = system.databases.map(
      ({control}) =>
        control.inspect({text: 'list ?', parameters: ['list']}).length,
    );
    return Math.max(...counts);
  }

  return {...system, answerTo, entries};
}

describe('a proxy that gets invalid input', () => {
  test('reports the error, runs nothing and keeps serving', () => {
    const {answerTo, entries, timer} = startProxy();
    const validParameters = {group: GROUP, statement: STATEMENT};
    const now = timer.wallClock();
    const day = 86_400_000;
    const wrong: Array<[unknown, ErrorName]> = [
      [{...validParameters, group: 'nothing'}, 'UNKNOWN_GROUP'],
      [{...validParameters, kind: 'nothing'}, 'UNKNOWN_KIND'],
      [{...validParameters, token: 'nonsense'}, 'BAD_TOKEN'],
      [{...validParameters, token: 'A'.repeat(4096)}, 'BAD_TOKEN'],
      [{...validParameters, token: 'A'.repeat(4097)}, 'INVALID_PARAMETERS'],
      [{...validParameters, deadline: now - 1}, 'DEADLINE_PASSED'],
      [{...validParameters, key: {id: 'k'}}, 'INVALID_PARAMETERS'],
      [
        {...validParameters, key: {id: 'k', issuedAt: now + day}},
        'KEY_FROM_FUTURE',
      ],
      [{...validParameters, transaction: 'nonsense'}, 'TRANSACTION_UNKNOWN'],
      [{...validParameters, surprise: true}, 'INVALID_PARAMETERS'],
      [{...validParameters, statement: {text: ''}}, 'INVALID_PARAMETERS'],
      [{...validParameters, statement: {text: 'drop'}}, 'STATEMENT_FAILED'],
      [[GROUP], 'INVALID_PARAMETERS'],
    ];
    const before = entries();
    for (const [params, name] of wrong) {
      const {error} = answerTo('write', params);
      expect([params, error?.data.name]).toEqual([params, name]);
      expect([params, error.data.outcome]).toEqual([params, 'not_run']);
    }
    expect(entries()).toEqual(before);
    expect(answerTo('write', validParameters).result.duplicate).toEqual(false);
  });

  test('runs nothing for an expired key and reports an unknown outcome', () => {
    const {answerTo, entries, timer} = startProxy();
    const before = entries();
    const key = {id: 'k', issuedAt: timer.wallClock() - 2 * 86_400_000};
    const params = {group: GROUP, statement: STATEMENT, key};
    const {error} = answerTo('write', params);
    // An earlier request with the key may have run, and its key been removed.
    expect(error.data.name).toEqual('KEY_EXPIRED');
    expect(error.data.outcome).toEqual('unknown');
    expect(entries()).toEqual(before);
  });

  test('rejects any token that it did not issue, and never throws', () => {
    const {answerTo, entries} = startProxy();
    const before = entries();
    const token = fc.oneof(
      fc.string({minLength: 1}),
      fc.base64String({minLength: 1}),
      fc
        .uint8Array({minLength: 1})
        .map(each => Buffer.from(each).toString('base64url')),
    );
    fc.assert(
      fc.property(token, text => {
        const params = {group: GROUP, statement: STATEMENT, token: text};
        const {error} = answerTo('write', params);
        expect(error?.data.outcome).toEqual('not_run');
      }),
      {seed: SEED, numRuns: RUNS},
    );
    expect(entries()).toEqual(before);
  });
});
