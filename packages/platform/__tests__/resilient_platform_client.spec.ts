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

const LATENCY = 10;

/** A platform that is out until told otherwise and counts its calls. */
function createOutage(outcome: Outcome = 'unknown') {
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
        yield* perform(delay(LATENCY));
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
      throw new Error('did not settle');
    }
    return value.settled;
  }
  return {timer, client, state, settle};
}

describe('the resilient platform client', () => {
  test('repeats a read until the platform is back', () => {
    const {timer, client, state, settle} = createOutage();
    timer.after(100, () => {
      state.out = false;
    });
    expect(settle(client.readRow('t', 'k')).ok).toEqual(true);
    expect(state.calls).toBeGreaterThan(1);
  });

  test('sends a write once if it may have had its effect', () => {
    const lost = createOutage('unknown');
    expect(lost.settle(lost.client.writeRow('t', 'k', 1, 0)).err).toEqual(true);
    expect(lost.state.calls).toEqual(1);
    const refused = createOutage('not_run');
    const result = refused.settle(refused.client.writeRow('t', 'k', 1, 0));
    expect(result.err && result.val.outcome).toEqual('not_run');
    expect(refused.state.calls).toBeGreaterThan(1);
  });

  test('costs little in a long outage and comes back soon after', () => {
    const {timer, client, state, settle} = createOutage();
    const stop = timer.every(20, () => void client.readRow('t', 'k'));
    timer.advance(60_000);
    expect(client.breakerState()).toEqual('open');
    // 3,000 reads were asked for; a probe leaves every few seconds.
    expect(state.calls).toBeLessThan(60);
    const refused = settle(client.readRow('t', 'k'), 1);
    expect(refused.err && refused.val.outcome).toEqual('not_run');
    expect(refused.err && (refused.val.retryAfter ?? 0) > 0).toEqual(true);
    state.out = false;
    timer.advance(7000);
    expect(client.breakerState()).toEqual('closed');
    stop();
  });

  test('says unknown of a put that was refused after a lost try', () => {
    const {client, settle} = createOutage('unknown');
    const put = settle(client.putObject('d', 'body'));
    expect(put.err && put.val.outcome).toEqual('unknown');
  });
});
