import {createFailure, defineMethod} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';

import {createIdempotentRequest} from '..';

const echo = defineMethod('echo', z.string(), z.string());
const FAILURE = createFailure('NOT_READY');

/**
 * Sends a request whose attempts have the given outcomes, a time-out beyond the
 * last one. Returns the number of attempts and the results with their times.
 */
function send(kinds: ReadonlyArray<RequestFailure['kind'] | 'answer'>) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  let attempts = 0;
  const request = createIdempotentRequest(
    runtime,
    <P, R>(
      unusedTo: string,
      unusedMethod: unknown,
      sent: P,
      timeout: number,
    ) => {
      const kind = kinds[attempts++] ?? 'timeout';
      const reply = createDeferred<Result<R, RequestFailure>>();
      timer.after(kind === 'timeout' ? timeout : 1, () =>
        reply.settle(
          kind === 'answer'
            ? Ok(sent as unknown as R)
            : Err({kind, sent: true, failure: FAILURE}),
        ),
      );
      return reply.future;
    },
  );
  const ends: string[] = [];
  request('peer', echo, 'hello', 300).onSettled(result => {
    ends.push(`${result.ok ? result.val : result.val.name} at ${timer.now()}`);
  });
  timer.advance(1000);
  return {attempts, ends};
}

describe('an idempotent request to a peer', () => {
  test('is sent again after an unresponsive or closed connection', () => {
    expect(send(['answer'])).toEqual({attempts: 1, ends: ['hello at 1']});
    expect(send(['timeout', 'answer']).ends).toEqual(['hello at 151']);
    expect(send(['closed', 'answer']).ends).toEqual(['hello at 2']);
  });

  test('ends within its timeout if the peer stays unresponsive', () => {
    expect(send([])).toEqual({attempts: 2, ends: ['NOT_READY at 300']});
  });

  test('is not repeated after the peer has refused it', () => {
    expect(send(['refused']).attempts).toEqual(1);
  });
});
