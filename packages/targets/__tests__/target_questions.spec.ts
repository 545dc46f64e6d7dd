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

import {createQuestionConnection} from '../src/question_connection';
import {createTargetQuestions} from '../src/target_questions';

const TIMEOUT: Milliseconds = 400;

/** A target that takes everything and answers nothing. */
function startSilentTarget() {
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

  const questions = createTargetQuestions({
    runtime,
    connection: createQuestionConnection({
      timer,
      target: {target: 't', group: 'g', address: 'a'},
      open,
      onOpened: () => {},
    }),
    onAnswers: () => {},
    onRoundTrip: () => {},
    onSilence: () => {},
  });

  function resume(sendUntil?: Milliseconds): void {
    questions
      .ask({kind: 'resume'}, TIMEOUT, sendUntil)
      .onSettled(reply => outcomes.push(reply.ok ? 'answered' : reply.val));
  }

  return {timer, sent, outcomes, resume};
}

describe('questions to a target that is silent', () => {
  test('are asked again on a fresh connection', () => {
    const {timer, sent, resume} = startSilentTarget();
    resume();
    timer.advance(3 * TIMEOUT);
    expect(sent.map(({at}) => at)).toEqual([0, TIMEOUT]);
  });

  test('are not sent after the time until which they may be', () => {
    const {timer, sent, outcomes, resume} = startSilentTarget();
    resume(TIMEOUT / 2);
    timer.advance(3 * TIMEOUT);
    expect(sent.map(({at}) => at)).toEqual([0]);
    expect(outcomes).toEqual(['too late']);
  });
});
