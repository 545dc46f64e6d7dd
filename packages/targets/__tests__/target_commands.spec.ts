import {
  type Milliseconds,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  TargetConnection,
  TargetRequest,
} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';

import {createControlConnection} from '../src/control_connection';
import {createTargetCommands} from '../src/target_commands';

const TIMEOUT: Milliseconds = 400;

/** A target that accepts connections and requests, but never answers. */
function startUnresponsiveTarget() {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const sent: Array<{at: Milliseconds; kind: string}> = [];
  const outcomes: string[] = [];

  const open: OpenTargetConnection = () => {
    let isOpen = true;
    const connection: TargetConnection = {
      send(requests: readonly TargetRequest[], timeout) {
        const result = createDeferred<ReturnType<typeof Err<'timed out'>>>();
        const kind = requests[0]?.body.kind ?? '';
        sent.push({at: timer.now(), kind});
        timer.after(timeout, () => result.settle(Err('timed out')));
        return result.future;
      },
      isOpen: () => isOpen,
      close() {
        isOpen = false;
      },
      onClosed: () => {},
    };
    return settledFuture(
      Ok({connection, position: undefined, firstAnswers: []}),
    );
  };

  const commands = createTargetCommands({
    runtime,
    connection: createControlConnection({
      timer,
      target: {target: 't', group: 'g', address: 'a'},
      open,
      onOpened: () => {},
    }),
    onAnswers: () => {},
    onRoundTrip: () => {},
    onUnresponsive: () => {},
  });

  function resume(sendUntil?: Milliseconds): void {
    commands
      .execute({kind: 'resume'}, TIMEOUT, sendUntil)
      .onSettled(reply => outcomes.push(reply.ok ? 'answered' : reply.val));
  }

  return {timer, sent, outcomes, resume};
}

describe('commands to an unresponsive target', () => {
  test('are retried on a new connection', () => {
    const {timer, sent, resume} = startUnresponsiveTarget();
    resume();
    timer.advance(3 * TIMEOUT);
    expect(sent.map(({at}) => at)).toEqual([0, TIMEOUT]);
  });

  test('are not sent after their send limit', () => {
    const {timer, sent, outcomes, resume} = startUnresponsiveTarget();
    resume(TIMEOUT / 2);
    timer.advance(3 * TIMEOUT);
    expect(sent.map(({at}) => at)).toEqual([0]);
    expect(outcomes).toEqual(['too late']);
  });
});
