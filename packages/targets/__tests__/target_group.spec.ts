import {
  VALUE_PER_SLOT_TIME,
  createAdaptiveLimit,
  spreadRetryAfter,
} from '@kelpstep/pool';
import {
  type Milliseconds,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type OpenFailure,
  type OpenTargetConnection,
  type OpenedConnection,
  type StatementAnswer,
  type TargetConnection,
  type TargetRequest,
  createSessionSettings,
} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, type Result} from 'ts-results';

import type {TargetRegistration} from '../src/registration';
import type {PinnedStart, StatementRequest} from '../src/statement_request';
import {createTargetGroup} from '../src/target_group';

const LATENCY_MS: Milliseconds = 2;
const SETTLING_TIME_MS: Milliseconds = 300;
const SETTINGS = {group: 'g', connectionLimit: 30, synchronousReplicas: 1};
const TARGETS = ['a', 'b', 'c'];
const SHAPE = {access: 'read', shape: 'q1'} as const;

function registrationOf(target: string, startedAt = 1): TargetRegistration {
  const role = target === 'a' ? 'primary' : 'replica';
  return {
    target,
    group: 'g',
    address: `10.0.0.1:${target.charCodeAt(0)}`,
    dataCentre: 'x',
    slots: 2,
    isLeaving: false,
    role,
    startedAt,
  };
}

/** Targets that answer after `LATENCY_MS`, or not at all while `isSilent`. */
function startGroup() {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const opened: Array<{target: string; isOpen: boolean}> = [];
  const prepared: string[] = [];
  const reached: string[] = [];
  const state = {openingTime: LATENCY_MS, answerTime: LATENCY_MS};

  function answer(target: string, {body}: TargetRequest): StatementAnswer {
    const role = target === 'a' ? 'primary' : 'replica';
    return {
      rows: body.kind === 'status' ? [role] : [],
      receipt: '',
      error: undefined,
      state: body.kind === 'begin' ? 'open' : 'idle',
      position: {term: 1, position: 50},
    };
  }

  function createConnection(target: string): TargetConnection {
    const entry = {target, isOpen: true};
    opened.push(entry);
    const listeners: Array<() => void> = [];
    return {
      send(requests, timeout) {
        const result =
          createDeferred<Result<StatementAnswer[], ConnectionLoss>>();
        const bodies = requests.map(({body}) => body.kind);
        prepared.push(...bodies.filter(kind => kind === 'prepare'));
        timer.after(state.answerTime, () =>
          result.settle(entry.isOpen ? toReply(requests) : Err('closed')),
        );
        timer.after(timeout, () => result.settle(Err('timed out')));
        return result.future;
      },
      isOpen: () => entry.isOpen,
      close() {
        entry.isOpen = false;
        listeners.splice(0).forEach(listener => listener());
      },
      onClosed: listener => listeners.push(listener),
    };
    function toReply(requests: readonly TargetRequest[]) {
      return Ok(requests.map(request => answer(target, request)));
    }
  }

  const open: OpenTargetConnection = ({target}, unusedUser, timeout, first) => {
    const result = createDeferred<Result<OpenedConnection, OpenFailure>>();
    timer.after(state.openingTime, () => result.settle(toOpened()));
    timer.after(timeout, () => result.settle(Err('timed out')));
    return result.future;
    function toOpened() {
      const connection = createConnection(target);
      const firstAnswers = (first ?? []).map(each => answer(target, each));
      return Ok({connection, position: undefined, firstAnswers});
    }
  };

  const group = createTargetGroup({
    group: 'g',
    runtime,
    open,
    readStatus: ({rows: [role]}) =>
      role === 'primary' || role === 'replica'
        ? {role, term: 1, received: {term: 1, position: 50}, termHeld: 1}
        : undefined,
    policies: {
      queue: VALUE_PER_SLOT_TIME,
      createConcurrencyLimit: createAdaptiveLimit,
      retryAfter: spreadRetryAfter,
    },
    events: {
      onReachability: target => reached.push(target),
      onLeader: () => {},
      onCommit: () => {},
      onTarget: () => {},
      onConnectionOpened: () => {},
      onStatementStart: () => {},
      onOutlier: () => {},
    },
    ownerCount: () => 1,
  });

  function openConnections(target: string): number {
    return opened.filter(each => each.target === target && each.isOpen).length;
  }

  function createStatement(kind: 'begin' | 'execute'): StatementRequest {
    const begin = {kind: 'begin', readOnly: true} as const;
    const execute = {kind: 'execute', name: 'q1', parameters: ''} as const;
    return {
      kind,
      worth: 1,
      deadline: timer.now() + 1000,
      user: 'account',
      settings: createSessionSettings(),
      shape: kind === 'execute' ? SHAPE : undefined,
      request: {id: kind, body: kind === 'begin' ? begin : execute},
      isAbandoned: () => false,
      onSent: () => {},
    };
  }

  function restart(target: string): void {
    group.update(
      TARGETS.map(each => registrationOf(each, each === target ? 2 : 1)),
      SETTINGS,
    );
  }

  group.update(
    TARGETS.map(each => registrationOf(each)),
    SETTINGS,
  );
  timer.advance(SETTLING_TIME_MS);
  for (const link of group.links()) {
    void link.run(createStatement('execute'));
    void link.probePosition();
  }
  timer.advance(SETTLING_TIME_MS);
  return {
    timer,
    group,
    state,
    prepared,
    reached,
    openConnections,
    createStatement,
    restart,
  };
}

describe('a target that started anew under its id', () => {
  // Guards against reads that a primary without data serves as proved fresh.
  test('has no log position, role or connection of before', () => {
    const {group, restart, openConnections} = startGroup();
    expect(group.leader()?.target).toEqual('a');
    expect(group.positions.coveredAt()).toBeGreaterThan(0);
    const others = ['b', 'c'].map(each => group.link(each));
    const logs = ['b', 'c'].map(each => group.positions.logOf(each));
    expect(TARGETS.map(openConnections)).toEqual([2, 2, 2]);

    restart('a');
    expect(group.leader()).toEqual(undefined);
    expect(group.positions.logOf('a')).toEqual(undefined);
    expect(group.positions.coveredAt()).toEqual(-Infinity);
    expect(group.link('a')?.lastContactAt()).toEqual(-Infinity);
    expect(TARGETS.map(openConnections)).toEqual([0, 2, 2]);
    expect(['b', 'c'].map(each => group.link(each))).toEqual(others);
    expect(['b', 'c'].map(each => group.positions.logOf(each))).toEqual(logs);
  });

  test('gets prepared statements again, as the others do not', () => {
    const {timer, group, restart, prepared, createStatement} = startGroup();
    expect(prepared.length).toEqual(3);
    restart('a');
    for (const link of group.links()) {
      void link.run(createStatement('execute'));
    }
    timer.advance(SETTLING_TIME_MS);
    expect(prepared.length).toEqual(4);
  });

  test('loses its transactions, and others keep theirs', () => {
    const {timer, group, restart, createStatement} = startGroup();
    const pins = new Map<string, PinnedStart>();
    for (const target of ['a', 'b']) {
      const begun = group.link(target)?.pin(createStatement('begin'));
      begun?.onSettled(start => pins.set(target, start));
    }
    timer.advance(SETTLING_TIME_MS);
    restart('a');
    const outcomes: string[] = [];
    for (const [target, {pinned}] of pins) {
      const {request} = createStatement('execute');
      pinned
        ?.send(request, SHAPE, SETTLING_TIME_MS)
        .onSettled(({ok}) => outcomes.push(`${target} ${ok}`));
      timer.advance(SETTLING_TIME_MS);
    }
    expect(outcomes).toEqual(['a false', 'b true']);
  });

  // Guards against answers of the former process that are recorded under the
  // id of the new one, and against a connection that nobody closes.
  test('is not known by answers that arrive late', () => {
    const {timer, group, state, restart, reached, ...rest} = startGroup();
    const former = group.link('a');
    state.answerTime = 50;
    state.openingTime = 50;
    void former?.probePosition();
    void former?.probeStatus();
    void former?.pin(rest.createStatement('begin'));
    void former?.pin(rest.createStatement('begin'));
    restart('a');
    timer.advance(60);
    expect(group.positions.logOf('a')).toEqual(undefined);
    expect(group.leader()).toEqual(undefined);
    expect(rest.openConnections('a')).toEqual(0);
    expect(reached).toEqual([]);
  });
});

describe('a target that has left its group', () => {
  // Guards against choices whose logs don't show that a log was lost before.
  test('is remembered with its log end for 10 s', () => {
    const {group, timer, state} = startGroup();
    const remaining = TARGETS.filter(target => target !== 'c');
    const missingSince = timer.now();
    group.update(
      remaining.map(each => registrationOf(each)),
      SETTINGS,
    );
    expect(group.missingSince('c')).toEqual(missingSince);
    expect(group.missingSince('b')).toEqual(undefined);
    expect(group.departed()).toEqual([]);
    timer.advance(2600);
    group.tick();
    expect(group.link('c')?.registration().isLeaving).toEqual(true);
    expect(group.departed()).toEqual([]);
    state.answerTime = 10_000;
    void group.link('c')?.probePosition();
    timer.advance(1000);
    group.tick();
    expect(group.departed()).toEqual([
      {
        target: 'c',
        reason: 'gone',
        missingSince,
        removedAt: timer.now(),
        logEnd: {term: 1, position: 50},
      },
    ]);
    timer.advance(10_001);
    expect(group.departed()).toEqual([]);
  });
});
