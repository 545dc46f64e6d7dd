/**
 * A group of stand-in targets in virtual time, with replication, promotion as
 * on the platform, and connections from proxies.
 */
import {EMPTY_LOG_END, type LogPosition} from '@kelpstep/protocol';
import type {Future, Milliseconds, TimerService} from '@kelpstep/runtime';
import type {
  ConnectionUser,
  OpenFailure,
  OpenedConnection,
  TargetAddress,
  TargetRequest,
} from '@kelpstep/statements';
import type {Result} from 'ts-results';

import type {LinkNetwork} from './link_network';
import type {LogRecord, RunRecorder} from './run_record';
import {createStandInTarget} from './stand_in_target';
import type {StandInTarget} from './stand_in_target_types';
import {createTargetConnections} from './target_connections';

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
   * Starts a promotion, which takes effect after its duration unless the
   * target's process ends before, even if a higher epoch has been used by then. Returns false if
   * the target is not running or a higher epoch has been used before; returns
   * true without a promotion if the target is the primary already.
   */
  promote(target: string, epoch: number, holder: string): boolean;
  /** Kills a target's process and closes its connections. */
  crash(name: string): void;
  /**
   * Makes a running target reset its connections and refuse new ones, or accept
   * them again.
   */
  refuseConnections(name: string, isRefusing: boolean): void;
  /**
   * Starts a target's process again, with an empty log if it is wiped. Unless
   * another target was promoted meanwhile, a primary that kept its log leads
   * again.
   */
  restart(name: string, wiped: boolean): void;
  /**
   * Adds a replica with the log of another target. It receives records at once,
   * in the term of its source.
   */
  join(name: string, source: string): void;
  /** Ends a target's process for good; its log is lost with it. */
  leave(name: string): void;
  /** Passes a term that the target leads for no time: all are replicas then. */
  passTerm(name: string): void;
}

/** Creates a group whose first target is the primary of term 1. */
export function createStandInGroup(options: StandInGroupOptions): StandInGroup {
  const {timer, network, recorder, group} = options;
  const targets = new Map<string, StandInTarget>();
  /** Targets that have left; their logs are kept for checks only. */
  const left = new Map<string, StandInTarget>();
  const processNumbers = new Map<string, number>();
  const {open, resetConnections} = createTargetConnections({
    ...options,
    findTarget: name => targets.get(name),
  });
  let primaryName = options.targets[0] ?? '';
  let term = 1;
  let highestEpoch = 0;

  /** Number of the target's current process. */
  function processNumber(name: string): number {
    return processNumbers.get(name) ?? 0;
  }

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

  function create(name: string): StandInTarget {
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
    return created;
  }
  options.targets.forEach(create);
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
    const process = processNumber(name);
    timer.after(options.promotionDuration, () => {
      if (processNumber(name) === process) {
        completePromotion(next, epoch, holder);
      }
    });
    return true;
  }

  function completePromotion(
    next: StandInTarget,
    epoch: number,
    holder: string,
  ): void {
    const isPrimary = next.role() === 'primary' && next.target === primaryName;
    if (!next.isRunning() || isPrimary) {
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

  function requireTarget(name: string): StandInTarget {
    const found = targets.get(name) ?? left.get(name);
    if (found === undefined) {
      throw new Error(`Unknown target ${name} in group ${group}.`);
    }
    return found;
  }

  function crash(name: string): void {
    processNumbers.set(name, processNumber(name) + 1);
    requireTarget(name).stop();
    resetConnections(name);
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
    crash,
    refuseConnections(name, isRefusing) {
      requireTarget(name).faults.refusesConnections = isRefusing;
      if (isRefusing) {
        resetConnections(name);
      }
    },
    restart(name, wiped) {
      const target = requireTarget(name);
      target.start(wiped);
      if (name === primaryName && !wiped) {
        target.becomePrimary(target.term());
      }
    },
    join(name, source) {
      const from = requireTarget(source);
      create(name).follow(from.term(), from.log());
    },
    leave(name) {
      crash(name);
      left.set(name, requireTarget(name));
      targets.delete(name);
    },
    passTerm(name) {
      term += 1;
      primaryName = name;
      const log = [...requireTarget(name).log()];
      targets.forEach(target => target.follow(term, log));
    },
  };
}

/** Interval at which a primary sends its whole log to the replicas. */
const CATCH_UP_INTERVAL_MS: Milliseconds = 100;
