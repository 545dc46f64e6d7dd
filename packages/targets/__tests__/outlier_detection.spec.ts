import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type AttemptEnd,
  type OutlierEvent,
  createOutlierDetection,
} from '../src/outlier_detection';
import {TICK_PERIOD_MS} from '../src/target_group';

/** Behaviour of a target: how its attempts end, and after which time. */
interface Behaviour {
  readonly end?: AttemptEnd | undefined;
  readonly duration?: number;
}

const HEALTHY: Behaviour = {end: 'answered', duration: 10};
const UNANSWERED: Behaviour = {end: undefined};
const SLOW: Behaviour = {end: 'answered', duration: 200};
const HEDGE_DELAY_MS = 280;

/** A detection for three targets that get no attempts. */
function startDetection() {
  const timer = createVirtualTimer();
  const events: OutlierEvent[] = [];
  const unusable = new Set<string>();
  const targets = ['a', 'b', 'c'];
  const detection = createOutlierDetection({
    now: timer.now,
    targets: () => targets,
    mayRunReads: target => !unusable.has(target),
    onEvent: event => void events.push(event),
  });
  const ejections = () =>
    events.flatMap(event =>
      event.kind === 'ejected' ? [`${event.target} ${event.reason}`] : [],
    );
  const observe = (target: string, count: number) =>
    Array.from({length: count}, () => detection.observe(target, 'read'));
  return {timer, detection, targets, unusable, events, ejections, observe};
}

/** Sends attempts to three targets, every 10 ms to each. */
function startTargets() {
  const started = startDetection();
  const {timer, detection, targets} = started;
  const behaviours = new Map<string, Behaviour>();

  function send(target: string): void {
    const {end, duration = 0} = behaviours.get(target) ?? HEALTHY;
    const attempt = detection.observe(target, 'read');
    if (end === undefined || duration > HEDGE_DELAY_MS) {
      timer.after(HEDGE_DELAY_MS, attempt.markUnanswered);
    }
    if (end !== undefined) {
      timer.after(duration, () => attempt.end(end));
    }
  }

  timer.every(10, () => targets.forEach(send));
  timer.every(TICK_PERIOD_MS, detection.tick);
  timer.advance(1000);

  return {...started, behaviours};
}

describe('outlier detection', () => {
  // Guards against reads that wait for a target until their timeout.
  test('ejects a target that leaves statements unanswered', () => {
    const {timer, behaviours, ejections, detection} = startTargets();
    behaviours.set('b', UNANSWERED);
    timer.advance(HEDGE_DELAY_MS + 100);
    expect([ejections(), detection.admission('b')]).toEqual([
      ['b unanswered'],
      'none',
    ]);
  });

  test('ejects targets that fail statements or are slow', () => {
    const behaviours: Behaviour[] = [{end: 'failing', duration: 5}, SLOW];
    const reasons = behaviours.map(behaviour => {
      const run = startTargets();
      run.behaviours.set('b', behaviour);
      run.timer.advance(500);
      return run.ejections()[0];
    });
    expect(reasons).toEqual(['b failing', 'b slow']);
  });

  // Guards against ejections when the cause is this proxy or its link.
  test('ejects none while all targets fail or are slow alike', () => {
    const late = {end: 'answered', duration: 400} as const;
    for (const behaviour of [UNANSWERED, SLOW, late]) {
      const {timer, behaviours, ejections} = startTargets();
      ['a', 'b', 'c'].forEach(target => behaviours.set(target, behaviour));
      timer.advance(3000);
      expect(ejections()).toEqual([]);
    }
  });

  // Guards against an ejection because of a short pause.
  test('withdraws failures that are answered after the hedge delay', () => {
    const ejectionsAfter = (isWithdrawn: boolean) => {
      const {timer, detection, observe, ejections} = startDetection();
      timer.every(TICK_PERIOD_MS, detection.tick);
      const attempts = observe('b', 8);
      const others = observe('a', 30);
      timer.advance(100);
      others.forEach(attempt => attempt.end('answered'));
      timer.advance(HEDGE_DELAY_MS - 100);
      attempts.slice(0, 7).forEach(attempt => {
        attempt.markUnanswered();
        if (isWithdrawn) {
          attempt.end('answered');
        }
      });
      attempts[7]?.markUnanswered();
      return ejections();
    };
    expect(ejectionsAfter(false)).toEqual(['b unanswered']);
    expect(ejectionsAfter(true)).toEqual([]);
  });

  // Guards against groups without a target for reads.
  test('ejects a minority, and never the last target that may run reads', () => {
    const {timer, behaviours, ejections} = startTargets();
    behaviours.set('a', UNANSWERED);
    timer.advance(400);
    behaviours.set('b', UNANSWERED);
    timer.advance(100);
    expect(ejections()).toEqual(['a unanswered']);

    const other = startTargets();
    other.behaviours.set('a', UNANSWERED);
    other.timer.advance(200);
    other.unusable.add('b').add('c');
    other.timer.advance(1000);
    expect(other.ejections()).toEqual([]);
  });

  // Guards against answers that a suspended process read too late.
  test('drops samples after a suspension', () => {
    const {timer, detection, behaviours, ejections} = startTargets();
    behaviours.set('b', UNANSWERED);
    timer.advance(HEDGE_DELAY_MS - 10);
    detection.dropSamples();
    behaviours.set('b', HEALTHY);
    timer.advance(1000);
    expect(ejections()).toEqual([]);
  });

  // Guards against hedge delays that end before the first tick after it.
  test('takes late ticks for a suspension', () => {
    const {timer, observe, ejections} = startDetection();
    const attempts = observe('b', 8);
    observe('a', 30).forEach(attempt => attempt.end('answered'));
    timer.advance(HEDGE_DELAY_MS);
    attempts.forEach(attempt => attempt.markUnanswered());
    expect(ejections()).toEqual([]);
  });

  test('readmits a target after three trials, and forgets a restarted one', () => {
    const {timer, detection, behaviours, events, ejections} = startTargets();
    behaviours.set('b', UNANSWERED);
    timer.advance(400);
    behaviours.set('b', HEALTHY);
    timer.advance(500);
    [1, 2, 3].forEach(() => detection.startTrial('b', 'read').end('success'));
    expect([detection.admission('b'), events.at(-1)]).toEqual([
      'share',
      {kind: 'readmitted', target: 'b'},
    ]);
    timer.advance(1000);
    behaviours.set('b', UNANSWERED);
    timer.advance(400);
    timer.advance(500);
    const trial = detection.startTrial('b', 'read');
    detection.forget('b');
    trial.end('failure');
    expect([ejections().length, detection.admission('b')]).toEqual([2, 'all']);
  });
});
