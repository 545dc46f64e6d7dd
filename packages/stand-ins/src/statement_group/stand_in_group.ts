/**
 * A group of stand-in targets: replication between them, promotion as the
 * platform does it, and connections of proxies.
 */
import {EMPTY_LOG_END, type LogPosition} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type ConnectionUser,
  type OpenFailure,
  type OpenedConnection,
  type StatementAnswer,
  type TargetAddress,
  type TargetConnection,
  type TargetRequest,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {LinkNetwork} from './link_network';
import type {LogRecord, RunRecorder} from './run_record';
import {createStandInTarget} from './stand_in_target';
import type {StandInTarget} from './stand_in_target_types';

/** How a group behaves. */
export interface StandInGroupOptions {
  readonly timer: TimerService;
  readonly network: LinkNetwork;
  readonly recorder: RunRecorder;
  readonly group: string;
  readonly targets: readonly string[];
  readonly slots: number;
  readonly connectionLimit: number;
  readonly workTime: Milliseconds;
  /** Time of a slot that a new connection takes; none by default. */
  readonly openingTime?: Milliseconds;
  readonly promotionTime: Milliseconds;
  applyDelay(): Milliseconds;
  /** How late an order to a target is carried out; 0: at once. */
  orderDelay(): Milliseconds;
  /** True if the answer to this statement is to be lost. */
  losesAnswer(): boolean;
}

/** A group with what a test may do to it. */
export interface StandInGroup {
  readonly group: string;
  target(name: string): StandInTarget;
  targets(): readonly StandInTarget[];
  primary(): StandInTarget | undefined;
  /** Opens a connection from a place of the network. */
  open(
    from: string,
    address: TargetAddress,
    user: ConnectionUser,
    timeout: Milliseconds,
    firstRequests?: readonly TargetRequest[],
  ): Future<Result<OpenedConnection, OpenFailure>>;
  /** Carries out a promotion; false if a higher epoch was seen. */
  promote(target: string, epoch: number, holder: string): boolean;
  /** Ends a target's process and its connections. */
  crash(name: string): void;
  restart(name: string, wiped: boolean): void;
}

/** A connection as the target sees it. */
interface AcceptedConnection {
  readonly connection: TargetConnection;
  run(
    requests: readonly TargetRequest[],
    done: (answers: readonly StatementAnswer[]) => void,
  ): void;
}

/** Creates a group whose first target leads term 1. */
export function createStandInGroup(options: StandInGroupOptions): StandInGroup {
  const {timer, network, recorder, group} = options;
  const targets = new Map<string, StandInTarget>();
  const closers = new Map<string, Set<() => void>>();
  let leaderName = options.targets[0] ?? '';
  let term = 1;
  let highestEpoch = 0;

  function others(name: string): StandInTarget[] {
    return [...targets.values()].filter(({target}) => target !== name);
  }

  function replicate(
    from: StandInTarget,
    previous: LogPosition,
    record: LogRecord,
  ): void {
    const senderTerm = from.term();
    for (const replica of others(from.target)) {
      network.deliver(from.target, replica.target, () => {
        if (replica.receive(senderTerm, previous, [record])) {
          network.deliver(replica.target, from.target, () =>
            from.acknowledge(record.position),
          );
        }
      });
    }
  }

  for (const name of options.targets) {
    const created: StandInTarget = createStandInTarget({
      timer,
      target: name,
      group,
      slots: options.slots,
      workTime: options.workTime,
      openingTime: options.openingTime ?? 0,
      recorder,
      applyDelay: options.applyDelay,
      orderDelay: options.orderDelay,
      onAppended: (previous, record) => replicate(created, previous, record),
    });
    targets.set(name, created);
    closers.set(name, new Set());
  }
  targets.get(leaderName)?.lead(term);

  /** Replicas that missed records get them with the next round. */
  timer.every(CATCH_UP_PERIOD, () => {
    const leader = targets.get(leaderName);
    if (leader?.isRunning() && leader.role() === 'primary') {
      for (const replica of others(leaderName)) {
        network.deliver(leaderName, replica.target, () =>
          catchUp(leader, replica),
        );
      }
    }
  });

  function catchUp(leader: StandInTarget, replica: StandInTarget): void {
    if (!replica.isRunning() || leader.role() !== 'primary') {
      return;
    }
    if (replica.term() < leader.term()) {
      replica.follow(leader.term(), leader.log());
    }
    if (replica.receive(leader.term(), EMPTY_LOG_END, leader.log())) {
      // As it is now: held back, it must not tell what came from a later term.
      const received = replica.received();
      network.deliver(replica.target, leader.target, () =>
        leader.acknowledge(received),
      );
    }
  }

  function promote(name: string, epoch: number, holder: string): boolean {
    const next = targets.get(name);
    if (epoch < highestEpoch || next === undefined || !next.isRunning()) {
      return false;
    }
    highestEpoch = epoch;
    if (next.role() === 'primary' && name === leaderName) {
      return true;
    }
    timer.after(options.promotionTime, () => takeLead(next, epoch, holder));
    return true;
  }

  function takeLead(next: StandInTarget, epoch: number, holder: string): void {
    if (!next.isRunning() || epoch < highestEpoch) {
      return;
    }
    term += 1;
    leaderName = next.target;
    next.lead(term);
    recorder.onPromotion({
      group,
      target: next.target,
      epoch,
      holder,
      log: [...next.log()],
      at: timer.now(),
    });
    for (const other of others(next.target)) {
      // One that can't be told goes on as it was until it can.
      network.deliver(next.target, other.target, () => {
        if (other.isRunning() && other.term() < next.term()) {
          other.follow(next.term(), next.log());
        }
      });
    }
  }

  function createConnection(
    from: string,
    target: StandInTarget,
    session: number,
  ): AcceptedConnection {
    const ends = closers.get(target.target) ?? new Set();
    const waiting = new Set<(loss: ConnectionLoss) => void>();
    const listeners: Array<() => void> = [];
    const batches: Array<() => void> = [];
    let isOpen = true;

    /** A connection's statements run one after the other. */
    function inTurn(start: () => void): void {
      batches.push(start);
      if (batches.length === 1) {
        start();
      }
    }

    function nextTurn(): void {
      batches.shift();
      batches[0]?.();
    }

    function end(): void {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      waiting.forEach(settle => settle('closed'));
      listeners.splice(0).forEach(listener => listener());
    }

    function close(): void {
      // The target holds the connection until it hears of its end.
      network.deliver(from, target.target, () => {
        target.endSession(session);
        ends.delete(lose);
      });
      end();
    }

    function lose(): void {
      network.deliver(target.target, from, end);
    }

    /** Runs requests that have arrived, one after the other. */
    function run(
      requests: readonly TargetRequest[],
      done: (answers: readonly StatementAnswer[]) => void,
    ): void {
      const answers: StatementAnswer[] = [];
      function step(): void {
        const request = requests[answers.length];
        if (request === undefined) {
          nextTurn();
          done(answers);
          return;
        }
        target.handle(session, request, answer => {
          answers.push(answer);
          step();
        });
      }
      inTurn(step);
    }

    const connection: TargetConnection = {
      send(requests, timeout) {
        const result =
          createDeferred<Result<readonly StatementAnswer[], ConnectionLoss>>();
        function settle(loss: ConnectionLoss): void {
          waiting.delete(settle);
          result.settle(Err(loss));
        }
        if (!isOpen) {
          settle('closed');
          return result.future;
        }
        waiting.add(settle);
        const cancel = timer.after(timeout, () => settle('timed out'));
        function answered(answers: readonly StatementAnswer[]): void {
          if (options.losesAnswer()) {
            return;
          }
          network.deliver(target.target, from, () => {
            if (isOpen) {
              cancel();
              waiting.delete(settle);
              result.settle(Ok(answers));
            }
          });
        }
        network.deliver(
          from,
          target.target,
          () => run(requests, answered),
          () => !isOpen,
        );
        return result.future;
      },
      isOpen: () => isOpen,
      close,
      onClosed: listener => void listeners.push(listener),
    };
    ends.add(lose);
    return {connection, run};
  }

  function open(
    from: string,
    address: TargetAddress,
    user: ConnectionUser,
    timeout: Milliseconds,
    firstRequests: readonly TargetRequest[] = [],
  ): Future<Result<OpenedConnection, OpenFailure>> {
    const result = createDeferred<Result<OpenedConnection, OpenFailure>>();
    timer.after(timeout, () => result.settle(Err('timed out')));

    function reply(outcome: Result<OpenedConnection, OpenFailure>): void {
      network.deliver(address.target, from, () => {
        if (!result.settle(outcome) && outcome.ok) {
          outcome.val.connection.close();
        }
      });
    }

    network.deliver(from, address.target, () => {
      const target = targets.get(address.target);
      const count = closers.get(address.target)?.size ?? 0;
      if (target === undefined || !target.isRunning()) {
        reply(Err('refused'));
        return;
      }
      if (count >= options.connectionLimit) {
        reply(Err('tooManyConnections'));
        return;
      }
      target.open(user, session => {
        const {connection, run} = createConnection(from, target, session);
        const position = target.applied();
        run(firstRequests, firstAnswers =>
          reply(Ok({connection, position, firstAnswers})),
        );
      });
    });
    return result.future;
  }

  function existing(name: string): StandInTarget {
    const found = targets.get(name);
    if (found === undefined) {
      throw new Error(`No target ${name} in ${group}.`);
    }
    return found;
  }

  return {
    group,
    target: existing,
    targets: () => [...targets.values()],
    primary: () =>
      [...targets.values()].find(
        target => target.isRunning() && target.role() === 'primary',
      ),
    open,
    promote,
    crash(name) {
      existing(name).stop();
      const ends = closers.get(name) ?? new Set();
      closers.set(name, new Set());
      ends.forEach(end => end());
    },
    restart: (name, wiped) => existing(name).start(wiped),
  };
}

/** How often a primary offers its log to replicas that missed a part of it. */
const CATCH_UP_PERIOD: Milliseconds = 100;
