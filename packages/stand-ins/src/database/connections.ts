/** Accepts connections up to the limit and serves JSON-RPC on them. */
import {createFailure, targetReplicate} from '@kelpstep/protocol';
import {TimerService, settledFuture} from '@kelpstep/runtime';
import {Connection, HandlerTable, RpcPeer, createRpcPeer} from '@kelpstep/rpc';
import {Err} from 'ts-results';

import type {DatabaseSettings} from './database_settings';
import {Session, createSession} from './session';

/** Delay between the refusal on a connection over the limit and its close. */
const REFUSAL_CLOSE_DELAY_MS = 50;
/** Time after which a connection over the limit closes unless it replicates. */
const EXCESS_CONNECTION_TIMEOUT_MS = 5000;

/**
 * Open connections of a database. Replication connections do not count against
 * the connection limit.
 */
export interface Connections {
  accept(connection: Connection): void;
  /** Returns the session of a connection and creates it at the first call. */
  sessionOf(peer: RpcPeer): Session;
  /** Number of connections that count against the limit. */
  count(): number;
  closeAll(): void;
}

export interface ConnectionsOptions {
  readonly timer: TimerService;
  readonly settings: () => DatabaseSettings;
  readonly handlers: HandlerTable;
  /** Called with the session of a connection that has ended. */
  readonly onClosed: (session: Session) => void;
}

/** Creates an empty set of connections. */
export function createConnections(options: ConnectionsOptions): Connections {
  const {timer, settings, handlers, onClosed} = options;
  const countedConnections = new Set<Connection>();
  const peers = new Set<RpcPeer>();
  const sessions = new Map<RpcPeer, Session>();
  const replicating = new Set<RpcPeer>();

  function sessionOf(peer: RpcPeer): Session {
    let session = sessions.get(peer);
    if (session === undefined) {
      session = createSession();
      sessions.set(peer, session);
    }
    return session;
  }

  /**
   * Handlers of an admitted connection. Once it replicates, it no longer counts
   * against the limit: replication connections have a reserve of their own.
   */
  function admittedHandlers(connection: Connection): HandlerTable {
    return {
      ...handlers,
      dispatch(name, parameters, peer) {
        if (name === targetReplicate.name) {
          countedConnections.delete(connection);
        }
        return handlers.dispatch(name, parameters, peer);
      },
    };
  }

  /** Handlers of a connection over the limit: they serve replication only. */
  function refusingHandlers(): HandlerTable {
    return {
      ...handlers,
      dispatch(name, parameters, peer) {
        if (name === targetReplicate.name) {
          replicating.add(peer);
          return handlers.dispatch(name, parameters, peer);
        }
        timer.after(REFUSAL_CLOSE_DELAY_MS, () =>
          peer.close('connection limit'),
        );
        return settledFuture(Err(createFailure('CONNECTIONS_EXHAUSTED')));
      },
    };
  }

  function open(connection: Connection, isAdmitted: boolean): RpcPeer {
    const peer = createRpcPeer({
      connection,
      timer,
      handlers: isAdmitted ? admittedHandlers(connection) : refusingHandlers(),
    });
    peers.add(peer);
    peer.closed.onSettled(() => {
      countedConnections.delete(connection);
      peers.delete(peer);
      replicating.delete(peer);
      const session = sessionOf(peer);
      sessions.delete(peer);
      session.close();
      onClosed(session);
    });
    return peer;
  }

  function closeUnlessReplicating(peer: RpcPeer): void {
    timer.after(EXCESS_CONNECTION_TIMEOUT_MS, () => {
      if (!replicating.has(peer)) {
        peer.close('connection limit');
      }
    });
  }

  function accept(connection: Connection): void {
    const {connectionLimit, connectionSetup} = settings();
    const isAdmitted = countedConnections.size < connectionLimit;
    if (isAdmitted) {
      countedConnections.add(connection);
    }
    function serve(): void {
      const peer = open(connection, isAdmitted);
      if (!isAdmitted) {
        closeUnlessReplicating(peer);
      }
    }
    // The connection buffers incoming messages until it is served.
    if (connectionSetup > 0) {
      timer.after(connectionSetup, serve);
    } else {
      serve();
    }
  }

  function closeAll(): void {
    for (const peer of [...peers]) {
      peer.close('database stops');
    }
  }

  return {accept, sessionOf, count: () => countedConnections.size, closeAll};
}
