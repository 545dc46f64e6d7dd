/** Assembles the components of a database stand-in. */
import {
  Rows,
  Statement,
  TargetStatus,
  targetBegin,
  targetCommit,
  targetExecute,
  targetFence,
  targetFollow,
  targetPauseWrites,
  targetPromote,
  targetReconfigure,
  targetReplicate,
  targetRollback,
  targetSettleKey,
  targetStatus,
  targetSubscribePositions,
} from '@kelpstep/protocol';
import {
  Future,
  Runtime,
  createRuntime,
  mapFuture,
  settledFuture,
} from '@kelpstep/runtime';
import {
  Address,
  HandlerTable,
  Listener,
  Transport,
  TransportError,
  createHandlerTable,
} from '@kelpstep/rpc';
import {Ok, Result} from 'ts-results';

import {createHostTimer} from '../network/host_timer';
import {createCatchUp} from './catch_up';
import {createConnections} from './connections';
import type {DatabaseControl} from './database_control';
import {
  DEFAULT_DATABASE_SETTINGS,
  DatabaseConfiguration,
  DatabaseSettings,
  standInConfigure,
} from './database_settings';
import {createExecutor} from './executor';
import {createFaults} from './faults';
import {createFreezableTransport} from './freezable_transport';
import {createIdempotencyKeys} from './idempotency_keys';
import {createJobRunner} from './job_runner';
import {createKeyedWriter} from './keyed_writer';
import {createMemberState} from './member_state';
import {Defer, createPositionStream} from './position_stream';
import {createReplicationClient} from './replication_client';
import {createReplicationSource} from './replication_source';
import {createSlotPool} from './slot_pool';
import {prepareStatement} from './statements';
import {createStore} from './store';
import {createTransactions} from './transactions';

/** Identity, network and initial settings of a database. */
export interface DatabaseOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Member id, as in the manifest. */
  readonly target: string;
  /** Listen address. */
  readonly address: Address;
  /** Distinguishes processes with the same member id; random by default. */
  readonly incarnation?: string;
  readonly settings?: Partial<DatabaseSettings>;
  /**
   * Function that defers an action to the next turn of the event loop; by
   * default a timer with delay 0. On real time `setImmediate` is faster.
   */
  readonly defer?: Defer;
}

/** A database that listens until `stop`, with its control functions. */
export interface Database {
  /** Settles with the bound address, or with the error of a failed listen. */
  readonly listening: Future<Result<Address, TransportError>>;
  readonly control: DatabaseControl;
  /** Closes the listener and all connections; stops all tasks and timers. */
  stop(): void;
}

/** Creates an empty database in term 0 and starts listening. */
export function createDatabase(options: DatabaseOptions): Database {
  const {target, address} = options;
  const incarnation =
    options.incarnation ?? options.runtime.random.hexadecimal(8);
  let settings = {...DEFAULT_DATABASE_SETTINGS, ...options.settings};
  const readSettings = () => settings;

  // Timers and messages go through the host timer, so that a freeze stops all.
  const timer = createHostTimer({timer: options.runtime.timer});
  const runtime = createRuntime({timer, random: options.runtime.random});
  const transport = createFreezableTransport(options.transport, timer);
  const defer: Defer = options.defer ?? (action => timer.after(0, action));

  const faults = createFaults();
  const keys = createIdempotencyKeys(timer.wallClock, readSettings);
  const store = createStore({keys, onChange});
  const catchUp = createCatchUp();
  const slots = createSlotPool(readSettings);
  const transactions = createTransactions(store, slots, incarnation);
  const client = createReplicationClient({
    runtime,
    transport,
    target,
    store,
    catchUp,
    settings: readSettings,
  });
  const member = createMemberState({
    timer,
    store,
    catchUp,
    onStepDown() {
      transactions.rollBackAll();
      client.stop();
    },
    onFollow: client.follow,
    onChange,
  });
  const source = createReplicationSource({
    timer,
    store,
    member,
    heartbeat: () => settings.replicationHeartbeat,
  });
  const positions = createPositionStream({timer, defer, status});
  const runner = createJobRunner({runtime, slots, settings: readSettings});
  const executor = createExecutor({
    store,
    member,
    transactions,
    runner,
    writer: createKeyedWriter(store, member),
  });
  const connections = createConnections({
    timer,
    settings: readSettings,
    handlers: faults.wrap(createHandlers()),
    onClosed: transactions.end,
  });
  let executions = 0;
  let listener: Listener | undefined;
  let stopped = false;

  function onChange(): void {
    source.answerWaiters();
    positions.scheduleUpdate();
  }

  function status(): TargetStatus {
    const following = member.following();
    const configuration = store.configuration();
    return {
      target,
      incarnation,
      role: member.role(),
      term: member.term(),
      end: store.end(),
      history: store.history(),
      catchingUp: catchUp.isCatchingUp(store.end().position),
      ...(following === undefined ? {} : {following}),
      ...(configuration === undefined ? {} : {configuration}),
      ...(member.role() === 'primary'
        ? {}
        : {primarySilence: client.timeSinceLastAnswer()}),
      slots: settings.slots,
      connectionLimit: settings.connectionLimit,
    };
  }

  function createHandlers(): HandlerTable {
    return createHandlerTable()
      .handle(targetStatus, () => settledFuture(Ok(status())))
      .handle(targetExecute, (parameters, peer) => {
        executions++;
        return executor.execute(parameters, connections.sessionOf(peer));
      })
      .handle(targetBegin, (parameters, peer) =>
        executor.begin(parameters, connections.sessionOf(peer)),
      )
      .handle(targetCommit, (parameters, peer) =>
        executor.commit(parameters, connections.sessionOf(peer)),
      )
      .handle(targetRollback, (parameters, peer) =>
        executor.rollback(parameters, connections.sessionOf(peer)),
      )
      .handle(targetSettleKey, (parameters, peer) =>
        executor.settleKey(parameters, connections.sessionOf(peer)),
      )
      .handle(targetFence, ({term}) =>
        settledFuture(member.fence(term).map(status)),
      )
      .handle(targetPromote, ({term, configuration}) =>
        settledFuture(member.promote(term, configuration).map(at => ({at}))),
      )
      .handle(targetReconfigure, ({term, replaces, configuration}) =>
        settledFuture(
          member.reconfigure(term, replaces, configuration).map(at => ({at})),
        ),
      )
      .handle(targetFollow, ({term, primary}) =>
        settledFuture(member.follow(term, primary).map(() => ({}))),
      )
      .handle(targetPauseWrites, ({term, durationMilliseconds}) =>
        settledFuture(
          member.pauseWrites(term, durationMilliseconds).map(end => ({end})),
        ),
      )
      .handle(targetSubscribePositions, ({heartbeatMilliseconds}, peer) => {
        positions.subscribe(peer, heartbeatMilliseconds);
        return settledFuture(Ok({}));
      })
      .handle(targetReplicate, source.replicate)
      .handle(standInConfigure, change => {
        configure(change);
        return settledFuture(Ok({}));
      });
  }

  function configure(change: DatabaseConfiguration): void {
    const {refuseConnections, refuseStatements, loseAnswers, freeze, ...rest} =
      change;
    settings = {...settings, ...rest};
    faults.configure({refuseConnections, refuseStatements, loseAnswers});
    if (freeze !== undefined) {
      timer.freeze();
      options.runtime.timer.after(freeze, timer.thaw);
    }
  }

  function inspect(statement: Statement): Rows {
    return prepareStatement(statement, 'read')
      .andThen(prepared => prepared.run(store.tables))
      .unwrapOr([]);
  }

  function stop(): void {
    stopped = true;
    listener?.close();
    connections.closeAll();
    runtime.shutdown();
    timer.stop();
  }

  const listening = transport.listen(address, connection => {
    if (faults.current().refuseConnections) {
      connection.close('refused');
    } else {
      connections.accept(connection);
    }
  });
  listening.onSettled(opened => {
    listener = opened.ok ? opened.val : undefined;
    if (stopped) {
      listener?.close();
    }
  });

  return {
    listening: mapFuture(listening, opened =>
      opened.map(bound => bound.address),
    ),
    control: {
      configure,
      freeze: timer.freeze,
      thaw: timer.thaw,
      status,
      records: () => store.recordsAfter(0, store.end().position),
      inspect,
      statistics: () => ({
        connections: connections.count(),
        busySlots: slots.busy(),
        waiting: slots.waiting(),
        transactions: transactions.open(),
        executions,
      }),
    },
    stop,
  };
}
