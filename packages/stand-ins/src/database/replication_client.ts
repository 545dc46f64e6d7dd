/** The replica's side of replication: a task that asks its primary. */
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

const DIAL_TIMEOUT: Milliseconds = 1000;
const RETRY_DELAY: Milliseconds = 50;
const RETRY_JITTER = 0.2;
/** A connection is given up after this many heartbeats without an answer. */
const MISSED_HEARTBEATS = 5;

/** Replicates from one primary at a time. */
export interface ReplicationClient {
  /** Replicates from the primary of a term, in place of any other. */
  follow(term: number, primary: string): void;
  /** Stops, and drops what was received but not applied. */
  stop(): void;
  /** Milliseconds since the primary was last heard of. */
  silence(): Milliseconds;
}

/** What a client is made of. */
export interface ReplicationClientOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly target: string;
  readonly store: Store;
  readonly catchUp: CatchUp;
  readonly settings: () => DatabaseSettings;
}

type Dialling = Future<Result<Connection, TransportError>>;

/** Waits for a connection; one that comes after a cancellation is closed. */
function* connectionOf(
  dialling: Dialling,
): Task<Result<Connection, TransportError>> {
  let taken = false;
  try {
    const dialled = yield* waitFor(dialling);
    taken = true;
    return dialled;
  } finally {
    if (!taken) {
      dialling.onSettled(dialled => {
        if (dialled.ok) {
          dialled.val.close('not needed any more');
        }
      });
    }
  }
}

/** Creates a client that follows nobody. */
export function createReplicationClient(
  options: ReplicationClientOptions,
): ReplicationClient {
  const {runtime, transport, target, store, catchUp, settings} = options;
  const {timer, random} = runtime;
  let heardAt = timer.now();
  let task: TaskHandle<void> | undefined;
  /** Changes whenever what is on its way must not be applied any more. */
  let epoch = 0;

  function accept(keep: number, records: readonly LogRecord[]): void {
    heardAt = timer.now();
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
      const timeout = MISSED_HEARTBEATS * settings().replicationHeartbeat;
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
      accept(keep, records);
    }
  }

  function* replicate(term: number, primary: string): Task<void> {
    for (;;) {
      const dialled = yield* connectionOf(
        transport.dial(primary, DIAL_TIMEOUT),
      );
      if (dialled.ok) {
        const peer = createRpcPeer({connection: dialled.val, timer});
        try {
          yield* pull(peer, term);
        } finally {
          peer.close('replication ends');
        }
      }
      yield* sleep(random.jitter(RETRY_DELAY, RETRY_JITTER));
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
    heardAt = timer.now();
    task = runtime.spawn('replication', replicate(term, primary));
  }

  return {follow, stop, silence: () => timer.now() - heardAt};
}
