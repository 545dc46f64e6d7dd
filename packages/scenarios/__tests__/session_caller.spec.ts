import {createFailure} from '@kelpstep/protocol';
import {encodeFailure} from '@kelpstep/rpc';
import {expect} from 'earl';
import {once} from 'node:events';
import {type Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {createSessionCaller} from '../src/processes/session_caller';

const ATTEMPT_TIME_MS = 200;
const CONFIRMATION = {rows: [], token: 'session', duplicate: false};
const DEADLINE_PASSED = encodeFailure(createFailure('DEADLINE_PASSED'));

describe('session caller', () => {
  /** Delay of the first answer, which says that the deadline has passed. */
  let firstAnswerDelay = 0;
  let requestCount = 0;
  let server: Server;

  before(async () => {
    server = createServer(async (request, response) => {
      const chunks = await request.toArray();
      const {id} = JSON.parse(Buffer.concat(chunks).toString());
      requestCount += 1;
      if (requestCount > 1) {
        response.end(
          JSON.stringify({jsonrpc: '2.0', id, result: CONFIRMATION}),
        );
        return;
      }
      await sleep(firstAnswerDelay);
      response.end(
        JSON.stringify({jsonrpc: '2.0', id, error: DEADLINE_PASSED}),
      );
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
  });
  after(() => server.close());

  function append(delay: number): Promise<void> {
    firstAnswerDelay = delay;
    requestCount = 0;
    const {port} = server.address() as AddressInfo;
    return createSessionCaller({
      group: 'group',
      proxies: () => [`127.0.0.1:${port}`],
      attemptTime: ATTEMPT_TIME_MS,
    }).append('list', 'entry');
  }

  test('retries with a new deadline after a frozen proxy missed the last one', async () => {
    await append(ATTEMPT_TIME_MS + 50);
    expect(requestCount).toEqual(2);
  });

  test('fails if a proxy reports a missed deadline too early', async () => {
    await expect(append(0)).toBeRejectedWith('DEADLINE_PASSED');
    expect(requestCount).toEqual(1);
  });
});
