import {Failure, Outcome, TableRow, createFailure} from '@kelpstep/protocol';
import {
  Future,
  createRandom,
  createRuntime,
  createVirtualTimer,
  delay,
  perform,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, Result} from 'ts-results';

import {PlatformClient, createResilientPlatformClient} from '..';

const LATENCY_MS = 10;

/**
 * Creates a platform client that counts its calls, which fail while `state.out`
 * is set.
 */
function createUnavailablePlatform(outcome: Outcome = 'unknown') {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(7)});
  const state = {out: true, calls: 0};

  function reply<T>(value: T): Future<Result<T, Failure>> {
    state.calls++;
    const result = state.out
      ? Err(createFailure('PLATFORM_UNAVAILABLE', {outcome}))
      : Ok(value);
    return runtime.spawn(
      'reply',
      (function* () {
        yield* perform(delay(LATENCY_MS));
        return result;
      })(),
    ).result;
  }

  const row: TableRow = {version: 1, value: 'x'};
  const inner: PlatformClient = {
    readRow: () => reply(row),
    writeRow: () => reply(2),
    listRows: () => reply([]),
    putObject: () => reply(undefined),
    getObject: () => reply('body'),
    listInstances: () => reply([]),
  };
  const client = createResilientPlatformClient({inner, runtime});

  function settle<T>(future: Future<T>, limit = 60_000): T {
    let value: {readonly settled: T} | undefined;
    future.onSettled(settled => {
      value = {settled};
    });
    timer.runUntil(() => value !== undefined, limit);
    if (value === undefined) {
      throw new Error('Future did not settle within the limit.');
    }
    return value.settled;
  }
  return {timer, client, state, settle};
}

describe('resilient platform client', () => {
  test('retries a read until the platform is available again', () => {
    const {timer, client, state, settle} = createUnavailablePlatform();
    timer.after(100, () => {
      state.out = false;
    });
    expect(settle(client.readRow('t', 'k')).ok).toEqual(true);
    expect(state.calls).toBeGreaterThan(1);
  });

  test('sends a write only once if it may have taken effect', () => {
    const lost = createUnavailablePlatform('unknown');
    expect(lost.settle(lost.client.writeRow('t', 'k', 1, 0)).err).toEqual(true);
    expect(lost.state.calls).toEqual(1);
    const refused = createUnavailablePlatform('not_run');
    const result = refused.settle(refused.client.writeRow('t', 'k', 1, 0));
    expect(result.err && result.val.outcome).toEqual('not_run');
    expect(refused.state.calls).toBeGreaterThan(1);
  });

  test('sends few calls in a long outage and recovers soon after it', () => {
    const {timer, client, state, settle} = createUnavailablePlatform();
    const stop = timer.every(20, () => void client.readRow('t', 'k'));
    timer.advance(60_000);
    expect(client.breakerState()).toEqual('open');
    // Of 3,000 reads, only a probe every few seconds reaches the platform.
    expect(state.calls).toBeLessThan(60);
    const refused = settle(client.readRow('t', 'k'), 1);
    expect(refused.err && refused.val.outcome).toEqual('not_run');
    expect(refused.err && (refused.val.retryAfter ?? 0) > 0).toEqual(true);
    state.out = false;
    timer.advance(7000);
    expect(client.breakerState()).toEqual('closed');
    stop();
  });

  test('reports an unknown outcome for a put refused after a lost attempt', () => {
    const {client, settle} = createUnavailablePlatform('unknown');
    const put = settle(client.putObject('d', 'body'));
    expect(put.err && put.val.outcome).toEqual('unknown');
  });
});
