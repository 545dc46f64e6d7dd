import {RpcPeer, createTcpTransport} from '@kelpstep/rpc';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok} from 'ts-results';

import {createRequestService} from '..';

describe('a request whose handling throws', () => {
  test('is answered with an internal error and is no longer in flight', () => {
    const faults: string[] = [];
    const service = createRequestService({
      runtime: createRuntime({
        timer: createVirtualTimer(),
        random: createRandom(1),
      }),
      self: {proxy: 'a', incarnation: '1', dataCentre: 'd', address: 'a:1'},
      transport: createTcpTransport(),
      manifest: () => {
        throw new Error('broken');
      },
      isManifestCurrent: () => true,
      groupView: () => undefined,
      liveProxyCount: () => 1,
      findProxy: () => undefined,
      forward: () => settledFuture(Ok({})),
      onFault: (error, method) => faults.push(`${method}: ${error}`),
    });
    const answers: unknown[] = [];
    service.callerHandlers
      .dispatch(
        'read',
        {group: 'g', statement: {text: 'get ?', parameters: ['k']}},
        {} as RpcPeer,
      )
      .onSettled(reply => answers.push(reply.err && reply.val.name));
    expect(answers).toEqual(['INTERNAL_ERROR']);
    expect(faults).toEqual(['read: Error: broken']);
    expect(service.inFlight()).toEqual(0);
  });
});
