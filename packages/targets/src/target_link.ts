/**
 * One target as used by this proxy: admission of statements, the connections
 * shared by sessions, and a control connection for probes and commands, which
 * also shows whether the target is reachable.
 */
import type {AdmissionPolicies} from '@kelpstep/pool';
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  mapFuture,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  ConnectionUser,
  OpenTargetConnection,
  OpenedConnection,
  ReadTargetStatus,
  StatementAnswer,
  TargetCommand,
  TargetStatus,
} from '@kelpstep/statements';
import {Err} from 'ts-results';

import {createControlConnection} from './control_connection';
import type {TargetRegistration} from './registration';
import {createSharedConnections} from './shared_connections';
import {createStatementRunner} from './statement_runner';
import type {
  ConnectionNeed,
  ConnectionWait,
  PinnedStart,
  StatementOutcome,
  StatementRequest,
  LinkLoad,
} from './statement_request';
import {type CommandReply, createTargetCommands} from './target_commands';
import {createWriteProgress} from './write_progress';

/** What a link needs to reach its target, and callbacks for what it learns. */
export interface TargetLinkOptions {
  readonly runtime: Runtime;
  readonly registration: TargetRegistration;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly policies: AdmissionPolicies;
  /**
   * Maximum number of connections of this proxy to the target, including the
   * control connection.
   */
  share(): number;
  /**
   * Called with each end of the applied log that the target reports.
   * `requestedAt` is the monotonic time when the answered request was sent.
   */
  onPosition(requestedAt: Milliseconds, position: LogPosition): void;
  onStatus(requestedAt: Milliseconds, status: TargetStatus): void;
  /** End of the target's log as last reported; undefined if it is not known. */
  logEnd(): LogPosition | undefined;
  /** Called for an acknowledged commit, whose position is above `after`. */
  onCommit(after: LogPosition): void;
  /** Called when the target becomes reachable or unreachable. */
  onReachability(isReached: boolean, reason: string): void;
  /** Called when a connection to the target was opened, for any use. */
  onConnectionOpened(): void;
  /** Called when a statement starts, with the time that it was queued. */
  onStatementStart(queueTime: Milliseconds): void;
}

/** Runs statements and commands on one target. */
export interface TargetLink {
  readonly target: string;
  registration(): TargetRegistration;
  update(registration: TargetRegistration): void;
  run(statement: StatementRequest): Future<StatementOutcome>;
  /** Begins a transaction by `statement.request` and pins its connection. */
  pin(statement: StatementRequest): Future<PinnedStart>;
  /**
   * Sends a command on the control connection. `timeout` bounds the wait for
   * its answer after it was sent.
   */
  sendCommand(
    command: TargetCommand,
    timeout: Milliseconds,
    /**
     * Monotonic time after which the command is not sent; `Infinity` by
     * default.
     */
    sendUntil?: Milliseconds,
  ): Future<CommandReply>;
  /** Probes the end of the target's applied log; false without an answer. */
  probePosition(): Future<boolean>;
  /**
   * Probes the target's role, term and received log; undefined without a valid
   * answer.
   */
  probeStatus(): Future<TargetStatus | undefined>;
  /** Predicted time until a statement of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Predicted time until a new statement starts. */
  startWait(): Milliseconds;
  /** Number of statements that this proxy runs concurrently; at least 1. */
  concurrencyLimit(): number;
  /**
   * Drops measured service times, which may date from a time when the target
   * was slow: no read would be sent there to correct them.
   */
  resetServiceTimes(): void;
  /** Ends all queued statements that another target may run. */
  withdrawQueued(): void;
  /** Predicts when a new statement gets a connection of this proxy. */
  connectionWait(need: ConnectionNeed): ConnectionWait;
  /** Current connections for statements, and statements queued. */
  load(): LinkLoad;
  /**
   * Measured time to open a connection for the user; 0 while it has an idle
   * connection, and if it is undefined.
   */
  setupTime(user: ConnectionUser): Milliseconds;
  /**
   * Shortest round trip of a control command so far; undefined before the
   * first.
   */
  roundTrip(): Milliseconds | undefined;
  /** False from a failed probe or connection attempt until the next answer. */
  isReached(): boolean;
  /**
   * Monotonic time since which the target is unresponsive; undefined while it
   * is reachable.
   */
  unresponsiveSince(): Milliseconds | undefined;
  /** True while connections are refused: the target's process is not running. */
  isDown(): boolean;
  /**
   * Monotonic time when the newest answered request was sent; `-Infinity`
   * without one.
   */
  lastContactAt(): Milliseconds;
  /**
   * True while this proxy has no open statement connection and the target's
   * connection limit prevents a new one. Always false for the proxy itself
   * (`user` undefined), which can use the control connection.
   */
  isStarved(user: ConnectionUser): boolean;
  /**
   * Monotonic time of the last answer to a write, or of sending the oldest
   * pending write if that is later; undefined if no write is pending.
   */
  writesStalledSince(): Milliseconds | undefined;
  /** True while a statement or a transaction uses a connection of the pool. */
  isInUse(): boolean;
  /**
   * Closes an idle connection beyond the share; to be called a few times a
   * second.
   */
  trim(): void;
  close(): void;
}

/**
 * Timeout of probes. Round trips between regions take tens of milliseconds at
 * most, and targets answer probes of the log position without occupying a slot.
 * Together with the timeout for opening a connection this makes up most of the
 * time to detect an unresponsive target.
 */
const CONTROL_TIMEOUT_MS: Milliseconds = 250;

/** Creates the link to a target, whose connections are opened on demand. */
export function createTargetLink(options: TargetLinkOptions): TargetLink {
  const {runtime, onPosition} = options;
  const {timer} = runtime;
  let registration = options.registration;
  const {target} = registration;
  const targetAddress = options.registration;
  let shortestRoundTrip: Milliseconds | undefined;
  let unresponsiveSince: Milliseconds | undefined;
  let unresponsiveReason = '';
  let lastContactAt = -Infinity;
  let isClosed = false;

  const connections = createSharedConnections({
    timer,
    target: targetAddress,
    open: openUnlessClosed,
    share,
    onAvailable: () => runner.dispatch(),
    onOpened: recordOpened,
  });
  const writes = createWriteProgress({
    timer,
    logEnd: options.logEnd,
    onCommit(after) {
      if (!isClosed) {
        options.onCommit(after);
      }
    },
  });
  const controlConnection = createControlConnection({
    timer,
    target: targetAddress,
    open: openUnlessClosed,
    onOpened: recordOpened,
  });
  const commands = createTargetCommands({
    runtime,
    connection: controlConnection,
    onAnswers: recordAnswers,
    onRoundTrip(duration) {
      shortestRoundTrip = Math.min(shortestRoundTrip ?? Infinity, duration);
    },
    onUnresponsive: markUnresponsive,
  });
  const runner = createStatementRunner({
    runtime,
    target,
    slots: registration.slots,
    policies: options.policies,
    connections,
    controlConnection,
    writes,
    share,
    onAnswers: recordAnswers,
    onUnresponsive: markUnresponsive,
    onStart: options.onStatementStart,
  });

  /**
   * Opens a connection. One that opens after the link was closed is closed at
   * once: the link's target is gone, and nobody would close it later.
   */
  function openUnlessClosed(
    ...parameters: Parameters<OpenTargetConnection>
  ): ReturnType<OpenTargetConnection> {
    return mapFuture(options.open(...parameters), opened => {
      if (opened.err || !isClosed) {
        return opened;
      }
      opened.val.connection.close();
      return Err('refused');
    });
  }

  /**
   * Number of connections for statements: the share without the control
   * connection, but at least 1.
   */
  function share(): number {
    return Math.max(1, options.share() - 1);
  }

  function markResponsive(requestedAt: Milliseconds): void {
    lastContactAt = Math.max(lastContactAt, requestedAt);
    if (unresponsiveSince !== undefined) {
      unresponsiveSince = undefined;
      options.onReachability(true, 'answered');
    }
  }

  function markUnresponsive(reason: string): void {
    unresponsiveReason = reason;
    if (unresponsiveSince === undefined && !isClosed) {
      unresponsiveSince = timer.now();
      options.onReachability(false, reason);
    }
  }

  function recordAnswers(
    requestedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void {
    // Another target may have the same id by now.
    if (isClosed) {
      return;
    }
    markResponsive(requestedAt);
    const position = answers[answers.length - 1]?.position;
    if (position !== undefined) {
      onPosition(requestedAt, position);
    }
  }

  function recordOpened(
    requestedAt: Milliseconds,
    {position, firstAnswers}: OpenedConnection,
  ): void {
    options.onConnectionOpened();
    markResponsive(requestedAt);
    if (position !== undefined) {
      onPosition(requestedAt, position);
    }
    firstAnswers.forEach(answer => reportStatus(requestedAt, answer));
  }

  function reportStatus(
    requestedAt: Milliseconds,
    answer: StatementAnswer,
  ): TargetStatus | undefined {
    const status = options.readStatus(answer);
    if (status !== undefined && !isClosed) {
      options.onStatus(requestedAt, status);
    }
    return status;
  }

  function sendCommand(
    command: TargetCommand,
    timeout: Milliseconds,
    sendUntil?: Milliseconds,
  ): Future<CommandReply> {
    return isClosed
      ? settledFuture(Err('closed'))
      : commands.execute(command, timeout, sendUntil);
  }

  function probeStatus(): Future<TargetStatus | undefined> {
    const requestedAt = timer.now();
    const reply = sendCommand({kind: 'status'}, CONTROL_TIMEOUT_MS);
    return mapFuture(reply, result => {
      return result.ok ? reportStatus(requestedAt, result.val) : undefined;
    });
  }

  return {
    target,
    registration: () => registration,
    update(next) {
      registration = next;
    },
    run: runner.run,
    pin: runner.pin,
    sendCommand,
    probePosition: () =>
      mapFuture(
        sendCommand({kind: 'reset'}, CONTROL_TIMEOUT_MS),
        reply => reply.ok,
      ),
    probeStatus,
    expectedTime: runner.expectedTime,
    setupTime: connections.setupTime,
    connectionWait: runner.connectionWait,
    load: runner.load,
    startWait: runner.startWait,
    concurrencyLimit: runner.concurrencyLimit,
    resetServiceTimes: runner.resetServiceTimes,
    withdrawQueued: runner.withdrawQueued,
    roundTrip: () => shortestRoundTrip,
    isReached: () => unresponsiveSince === undefined,
    unresponsiveSince: () => unresponsiveSince,
    isDown: () =>
      unresponsiveSince !== undefined && unresponsiveReason === 'refused',
    lastContactAt: () => lastContactAt,
    // The proxy itself can fall back to the control connection.
    isStarved: user => user !== undefined && connections.isStarved(),
    writesStalledSince: writes.stalledSince,
    isInUse: connections.isInUse,
    trim: connections.trim,
    close() {
      isClosed = true;
      runner.close();
      connections.closeAll();
      controlConnection.close();
    },
  };
}
