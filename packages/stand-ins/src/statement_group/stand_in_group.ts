/**
 * A group of stand-in targets in virtual time, with replication, promotion as
 * on the platform, and connections from proxies.
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

/**
 * Targets, capacity and fault injection of a group. The first target is the
 * initial primary.
 */
export interface StandInGroupOptions {
  readonly timer: TimerService;
  readonly network: LinkNetwork;
  readonly recorder: RunRecorder;
  readonly group: string;
  readonly targets: readonly string[];
  readonly slots: number;
  readonly connectionLimit: number;
  readonly statementDuration: Milliseconds;
  /** Time for which a new connection occupies a slot; 0 by default. */
  readonly connectionSetupDuration?: Milliseconds;
  readonly promotionDuration: Milliseconds;
  /** Returns the delay between receiving a record and applying it. */
  applyDelay(): Milliseconds;
  /**
   * Returns the delay of the next pause, resume or demote command to a target.
   * A delayed command is not answered; 0 executes and answers it immediately.
   */
  commandDelay(): Milliseconds;
  /**
   * Called for each executed batch of requests; returns true to drop its
   * answers.
   */
  shouldDropAnswer(): boolean;
}

/** A group and its test controls. */
export interface StandInGroup {
  readonly group: string;
  target(name: string): StandInTarget;
  targets(): readonly StandInTarget[];
  primary(): StandInTarget | undefined;
  /**
   * Opens a connection from a node of the network and runs the first requests
   * on it.
   */
  open(
    from: string,
    address: TargetAddress,
    user: ConnectionUser,
    timeout: Milliseconds,
    firstRequests?: readonly TargetRequest[],
  ): Future<Result<OpenedConnection, OpenFailure>>;
  /**
   * Starts a promotion, which is dropped if the target stops or a higher epoch
   * is used before it completes. Returns false if the target is not running or
   * a higher epoch has been used before; returns true without a promotion if
   * the target is the primary already.
   */
  promote(target: string, epoch: number, holder: string): boolean;
  /** Kills a target's process and closes its connections. */
  crash(name: string): void;
  /**
   * Makes a running target reset its connections and refuse new ones, or accept
   * them again.
   */
  refuseConnections(name: string, isRefusing: boolean): void;
  /** Starts a target's process again, with an empty log if it is wiped. */
  restart(name: string, wiped: boolean): void;
}

/** A new connection and the function that runs requests on its target. */
interface AcceptedConnection {
  readonly connection: TargetConnection;
  run(
    requests: readonly TargetRequest[],
    done: (answers: readonly StatementAnswer[]) => void,
  ): void;
}

/** Creates a group whose first target is the primary of term 1. */
export function createStandInGroup(options: StandInGroupOptions): StandInGroup {
  const {timer, network, recorder, group} = options;
  const targets = new Map<string, StandInTarget>();
  const closersByTarget = new Map<string, Set<() => void>>();
  let primaryName = options.targets[0] ?? '';
  let term = 1;
  let highestEpoch = 0;

  function otherTargets(name: string): StandInTarget[] {
    return [...targets.values()].filter(({target}) => target !== name);
  }

  function replicate(
    from: StandInTarget,
    previous: LogPosition,
    record: LogRecord,
  ): void {
    const senderTerm = from.term();
    for (const replica of otherTargets(from.target)) {
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
      statementDuration: options.statementDuration,
      connectionSetupDuration: options.connectionSetupDuration ?? 0,
      recorder,
      applyDelay: options.applyDelay,
      commandDelay: options.commandDelay,
      onAppended: (previous, record) => replicate(created, previous, record),
    });
    targets.set(name, created);
    closersByTarget.set(name, new Set());
  }
  targets.get(primaryName)?.becomePrimary(term);

  // The primary sends its whole log to all other targets at an interval, for
  // the case that they missed records.
  timer.every(CATCH_UP_INTERVAL_MS, () => {
    const primary = targets.get(primaryName);
    if (primary?.isRunning() && primary.role() === 'primary') {
      for (const replica of otherTargets(primaryName)) {
        network.deliver(primaryName, replica.target, () =>
          catchUp(primary, replica),
        );
      }
    }
  });

  function catchUp(primary: StandInTarget, replica: StandInTarget): void {
    if (!replica.isRunning() || primary.role() !== 'primary') {
      return;
    }
    if (replica.term() < primary.term()) {
      replica.follow(primary.term(), primary.log());
    }
    if (replica.receive(primary.term(), EMPTY_LOG_END, primary.log())) {
      // The end is read now: a message that arrives late must not acknowledge
      // records of a later term.
      const received = replica.received();
      network.deliver(replica.target, primary.target, () =>
        primary.acknowledge(received),
      );
    }
  }

  function promote(name: string, epoch: number, holder: string): boolean {
    const next = targets.get(name);
    if (epoch < highestEpoch || next === undefined || !next.isRunning()) {
      return false;
    }
    highestEpoch = epoch;
    if (next.role() === 'primary' && name === primaryName) {
      return true;
    }
    timer.after(options.promotionDuration, () =>
      completePromotion(next, epoch, holder),
    );
    return true;
  }

  function completePromotion(
    next: StandInTarget,
    epoch: number,
    holder: string,
  ): void {
    if (!next.isRunning() || epoch < highestEpoch) {
      return;
    }
    term += 1;
    primaryName = next.target;
    next.becomePrimary(term);
    recorder.onPromotion({
      group,
      target: next.target,
      epoch,
      holder,
      log: [...next.log()],
      at: timer.now(),
    });
    for (const other of otherTargets(next.target)) {
      // An unreachable target keeps its role until the message arrives.
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
    const closers = closersByTarget.get(target.target) ?? new Set();
    const waiting = new Set<(loss: ConnectionLoss) => void>();
    const listeners: Array<() => void> = [];
    const batches: Array<() => void> = [];
    let isOpen = true;

    /** Runs the batches of a connection one after another. */
    function enqueueBatch(start: () => void): void {
      batches.push(start);
      if (batches.length === 1) {
        start();
      }
    }

    function startNextBatch(): void {
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
      // The target keeps the session until the close message arrives.
      network.deliver(from, target.target, () => {
        target.endSession(session);
        closers.delete(resetConnection);
      });
      end();
    }

    function resetConnection(): void {
      network.deliver(target.target, from, end);
    }

    /** Runs the requests of a batch one after another. */
    function run(
      requests: readonly TargetRequest[],
      done: (answers: readonly StatementAnswer[]) => void,
    ): void {
      const answers: StatementAnswer[] = [];
      function runNextRequest(): void {
        const request = requests[answers.length];
        if (request === undefined) {
          startNextBatch();
          done(answers);
          return;
        }
        target.handle(session, request, answer => {
          answers.push(answer);
          runNextRequest();
        });
      }
      enqueueBatch(runNextRequest);
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
        function sendAnswers(answers: readonly StatementAnswer[]): void {
          if (options.shouldDropAnswer()) {
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
          () => run(requests, sendAnswers),
          () => !isOpen,
        );
        return result.future;
      },
      isOpen: () => isOpen,
      close,
      onClosed: listener => void listeners.push(listener),
    };
    closers.add(resetConnection);
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
      const count = closersByTarget.get(address.target)?.size ?? 0;
      const mayOpen =
        target?.isRunning() === true && !target.faults.refusesConnections;
      if (target === undefined || !mayOpen) {
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

  function requireTarget(name: string): StandInTarget {
    const found = targets.get(name);
    if (found === undefined) {
      throw new Error(`Unknown target ${name} in group ${group}.`);
    }
    return found;
  }

  function resetConnections(name: string): void {
    const closers = closersByTarget.get(name) ?? new Set();
    closersByTarget.set(name, new Set());
    closers.forEach(end => end());
  }

  return {
    group,
    target: requireTarget,
    targets: () => [...targets.values()],
    primary: () =>
      [...targets.values()].find(
        target => target.isRunning() && target.role() === 'primary',
      ),
    open,
    promote,
    crash(name) {
      requireTarget(name).stop();
      resetConnections(name);
    },
    refuseConnections(name, isRefusing) {
      requireTarget(name).faults.refusesConnections = isRefusing;
      if (isRefusing) {
        resetConnections(name);
      }
    },
    restart: (name, wiped) => requireTarget(name).start(wiped),
  };
}

/** Interval at which a primary sends its whole log to the replicas. */
const CATCH_UP_INTERVAL_MS: Milliseconds = 100;
