/** Replica side of replication: a task requests records from the primary. */
import {Failure, LogRecord, targetReplicate} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  TaskHandle,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {
  Connection,
  RpcPeer,
  Transport,
  TransportError,
  createRpcPeer,
} from '@kelpstep/rpc';
import {Result} from 'ts-results';

import type {CatchUp} from './catch_up';
import type {DatabaseSettings} from './database_settings';
import type {Store} from './store';

const DIAL_TIMEOUT_MS: Milliseconds = 1000;
const RETRY_BACKOFF_MS: Milliseconds = 50;
const RETRY_JITTER_RATIO = 0.2;
/**
 * Number of heartbeat intervals without an answer after which the connection is
 * closed.
 */
const MISSED_HEARTBEAT_COUNT = 5;

/** Replicates from one primary at a time. */
export interface ReplicationClient {
  /** Starts replication from the primary of a term and ends any other. */
  follow(term: number, primary: string): void;
  /** Stops replication and discards records that are not applied yet. */
  stop(): void;
  /** Time since the last answer of the primary, or since `follow`. */
  timeSinceLastAnswer(): Milliseconds;
}

export interface ReplicationClientOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly target: string;
  readonly store: Store;
  readonly catchUp: CatchUp;
  readonly settings: () => DatabaseSettings;
}

type Dialling = Future<Result<Connection, TransportError>>;

/** Waits for a connection; closes it if it opens after a cancellation. */
function* awaitConnection(
  dialling: Dialling,
): Task<Result<Connection, TransportError>> {
  let isReturned = false;
  try {
    const dialled = yield* waitFor(dialling);
    isReturned = true;
    return dialled;
  } finally {
    if (!isReturned) {
      dialling.onSettled(dialled => {
        if (dialled.ok) {
          dialled.val.close('not needed any more');
        }
      });
    }
  }
}

/** Creates a client that follows no primary. */
export function createReplicationClient(
  options: ReplicationClientOptions,
): ReplicationClient {
  const {runtime, transport, target, store, catchUp, settings} = options;
  const {timer, random} = runtime;
  let lastAnswerAt = timer.now();
  let task: TaskHandle<void> | undefined;
  /**
   * Counter that increases with each stop, so that records whose lag ends after
   * a stop are not applied.
   */
  let epoch = 0;

  function applyBatch(keep: number, records: readonly LogRecord[]): void {
    lastAnswerAt = timer.now();
    if (keep < store.received().end.position) {
      store.truncate(keep);
      return;
    }
    store.receive(records);
    const last = records.at(-1);
    if (last !== undefined) {
      applyWithLag(last.at.position);
    }
  }

  function applyWithLag(position: number): void {
    const {lag} = settings();
    if (lag === 0) {
      store.applyUpTo(position);
      return;
    }
    const current = epoch;
    timer.after(lag, () => {
      if (current === epoch) {
        store.applyUpTo(position);
      }
    });
  }

  function* pull(peer: RpcPeer, term: number): Task<Failure> {
    for (;;) {
      const {end, history} = store.received();
      const timeout = MISSED_HEARTBEAT_COUNT * settings().replicationHeartbeat;
      const reply = yield* waitFor(
        peer.request(targetReplicate, {target, term, end, history}, timeout),
      );
      if (reply.err) {
        return reply.val.failure;
      }
      const {keep, records, primaryEnd} = reply.val;
      if (primaryEnd !== undefined) {
        catchUp.observePrimaryEnd(primaryEnd.position);
      }
      applyBatch(keep, records);
    }
  }

  function* replicate(term: number, primary: string): Task<void> {
    for (;;) {
      const dialled = yield* awaitConnection(
        transport.dial(primary, DIAL_TIMEOUT_MS),
      );
      if (dialled.ok) {
        const peer = createRpcPeer({connection: dialled.val, timer});
        try {
          yield* pull(peer, term);
        } finally {
          peer.close('replication ends');
        }
      }
      yield* sleep(random.jitter(RETRY_BACKOFF_MS, RETRY_JITTER_RATIO));
    }
  }

  function stop(): void {
    epoch++;
    task?.cancel();
    task = undefined;
    store.truncate(store.end().position);
  }

  function follow(term: number, primary: string): void {
    stop();
    catchUp.join();
    lastAnswerAt = timer.now();
    task = runtime.spawn('replication', replicate(term, primary));
  }

  return {follow, stop, timeSinceLastAnswer: () => timer.now() - lastAnswerAt};
}
