import {
  type Milliseconds,
  type Task,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {createSessionSettings, localAnswer} from '@kelpstep/statements';
import type {
  OutlierDetection,
  StatementOutcome,
  StatementRequest,
  TargetGroup,
  TargetLink,
} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createDispatcher} from '../src/dispatch';
import type {DispatchRequest} from '../src/dispatch_types';

const POSITION = {term: 1, position: 1};
const ANSWERED: StatementOutcome = {
  kind: 'answered',
  answer: localAnswer('idle'),
};
const REFUSED: StatementOutcome = {kind: 'refused', retryAfter: 70};

/** How a target behaves; without `outcome` it never answers. */
interface Behaviour {
  readonly outcome?: StatementOutcome;
  readonly startWait?: Milliseconds;
  readonly admission?: ReturnType<OutlierDetection['admission']>;
}

/** A dispatcher for targets a, b, ..., of which a is the fastest. */
function createReads(behaviours: readonly Behaviour[], isDetecting = true) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const sent: string[] = [];
  const trials: string[] = [];
  const names = behaviours.map((unused, index) => 'abc'.charAt(index));
  const links = behaviours.map(({outcome, startWait = 0}, index) => {
    const link: Partial<TargetLink> = {
      target: names[index] ?? '',
      registration: () => ({isLeaving: false}) as never,
      isReached: () => true,
      isStarved: () => false,
      expectedTime: () => 1 + index,
      setupTime: () => 0,
      roundTrip: () => 1,
      connectionWait: () => ({untilRelease: 0, isPinned: false}),
      startWait: () => startWait,
      concurrencyLimit: () => 8,
      run({onSent}: StatementRequest) {
        sent.push(`${names[index]} at ${timer.now()}`);
        onSent();
        return outcome === undefined
          ? createDeferred<StatementOutcome>().future
          : settledFuture(outcome);
      },
    };
    return link as TargetLink;
  });
  const outliers: Partial<OutlierDetection> = {
    admission: target => behaviours[names.indexOf(target)]?.admission ?? 'all',
    observe: () => ({markUnanswered: () => {}, end: () => {}}),
    startTrial: () => ({answerTime: 60, end: result => trials.push(result)}),
  };
  const group = {
    group: 'g',
    links: () => links,
    hasSynchronousReplicas: () => true,
    leader: () => undefined,
    positions: {logOf: () => ({position: POSITION, requestedAt: 0})},
    *awaitCovering() {
      return POSITION;
    },
    outliers: isDetecting ? outliers : undefined,
  } as unknown as TargetGroup;
  const dispatcher = createDispatcher({
    runtime,
    group: () => group,
    isPrimaryChanging: () => false,
  });
  function* awaitAnswer(
    request: DispatchRequest,
    onEnd: (outcome: string) => void,
  ): Task<void> {
    const {answer} = yield* dispatcher.dispatch(request);
    onEnd(answer.error?.name ?? 'ok');
  }

  function run(onEnd: (outcome: string) => void): void {
    const request = {
      id: 'r',
      route: {timeout: 800, group: 'g', priority: 1, maximumStaleness: 500},
      statement: {kind: 'read', item: 'x'},
      settings: createSessionSettings(),
      arrivedAt: timer.now(),
      needsPrimary: false,
      isWrite: false,
      runs: {add: () => {}, total: () => 0},
      isAbandoned: () => false,
    } as unknown as DispatchRequest;
    runtime.spawn('read', awaitAnswer(request, onEnd));
  }
  function answerAfter(duration: Milliseconds): string {
    const outcomes: string[] = [];
    run(outcome => outcomes.push(outcome));
    timer.advance(duration);
    return outcomes[0] ?? 'unanswered';
  }
  return {answerAfter, sent, trials};
}

describe('a read that the queue of a target refuses', () => {
  // Guards against refusals while another target has capacity.
  test('is tried at a target that can start it, without detection at none', () => {
    const behaviours = [{outcome: REFUSED}, {outcome: ANSWERED}];
    expect(createReads(behaviours).answerAfter(1)).toEqual('ok');
    expect(createReads(behaviours, false).answerAfter(1)).toEqual('busy');
  });

  // Guards against reads that are held until their timeout.
  test('is refused at once after one attempt at each suitable target', () => {
    const reads = createReads([
      {outcome: REFUSED},
      {outcome: REFUSED},
      {outcome: ANSWERED, startWait: 700},
    ]);
    expect(reads.answerAfter(1)).toEqual('busy');
    expect(reads.sent).toEqual(['a at 0', 'b at 0']);
  });

  test('is tried at no ejected target', () => {
    const ejected = {outcome: ANSWERED, admission: 'none'} as const;
    const reads = createReads([{outcome: REFUSED}, ejected]);
    expect(reads.answerAfter(1)).toEqual('busy');
  });
});

describe('a read that leaves the queue of an ejected target', () => {
  test('is placed elsewhere at once', () => {
    const reads = createReads([
      {outcome: {kind: 'withdrawn'}},
      {outcome: ANSWERED},
    ]);
    expect(reads.answerAfter(1)).toEqual('ok');
  });
});

describe('a trial read', () => {
  // Guards against trials that use up the budget or delay reads by 280 ms.
  test('is repeated elsewhere after 60 ms, without the budget', () => {
    const trial = {admission: 'trial'} as const;
    const reads = createReads([{outcome: ANSWERED}, trial]);
    const answers = Array.from({length: 30}, () => reads.answerAfter(61));
    expect(answers).toEqual(answers.map(() => 'ok'));
    expect(reads.trials.length).toEqual(30);
    expect(reads.sent.slice(0, 3)).toEqual(['b at 0', 'a at 60', 'b at 61']);
  });
});

describe('a read while all other targets are ejected', () => {
  test('runs at an ejected one that may run it', () => {
    const ejected = {outcome: ANSWERED, admission: 'none'} as const;
    expect(createReads([ejected, ejected]).answerAfter(1)).toEqual('ok');
  });
});
