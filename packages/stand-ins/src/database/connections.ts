/** Admits connections up to the limit and puts JSON-RPC on them. */
import {createFailure, targetReplicate} from '@kelpstep/protocol';
import {TimerService, settledFuture} from '@kelpstep/runtime';
import {Connection, HandlerTable, RpcPeer, createRpcPeer} from '@kelpstep/rpc';
import {Err} from 'ts-results';

import type {DatabaseSettings} from './database_settings';
import {Session, createSession} from './session';

/** A connection beyond the limit is closed this long after its refusal. */
const REFUSAL_LINGER = 50;
/** A connection beyond the limit that doesn't replicate ends after this. */
const IDLE_LINGER = 5000;

/** The connections of a database. */
export interface Connections {
  accept(connection: Connection): void;
  /** The session of a connection. */
  sessionOf(peer: RpcPeer): Session;
  /** Connections that count against the limit. */
  count(): number;
  closeAll(): void;
}

/** What connections are made of. */
export interface ConnectionsOptions {
  readonly timer: TimerService;
  readonly settings: () => DatabaseSettings;
  readonly handlers: HandlerTable;
  /** Called when a connection has ended. */
  readonly onClosed: (session: Session) => void;
}

/** Creates an empty set of connections. */
export function createConnections(options: ConnectionsOptions): Connections {
  const {timer, settings, handlers, onClosed} = options;
  const counted = new Set<Connection>();
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

  /** Replication has a reserve of its own and gives its place back. */
  function handlersFor(connection: Connection): HandlerTable {
    return {
      ...handlers,
      dispatch(name, parameters, peer) {
        if (name === targetReplicate.name) {
          counted.delete(connection);
        }
        return handlers.dispatch(name, parameters, peer);
      },
    };
  }

  /** Beyond the limit everything but replication is refused. */
  function refusingHandlers(): HandlerTable {
    return {
      ...handlers,
      dispatch(name, parameters, peer) {
        if (name === targetReplicate.name) {
          replicating.add(peer);
          return handlers.dispatch(name, parameters, peer);
        }
        timer.after(REFUSAL_LINGER, () => peer.close('connection limit'));
        return settledFuture(Err(createFailure('CONNECTIONS_EXHAUSTED')));
      },
    };
  }

  function open(connection: Connection, isAdmitted: boolean): RpcPeer {
    const peer = createRpcPeer({
      connection,
      timer,
      handlers: isAdmitted ? handlersFor(connection) : refusingHandlers(),
    });
    peers.add(peer);
    peer.closed.onSettled(() => {
      counted.delete(connection);
      peers.delete(peer);
      replicating.delete(peer);
      const session = sessionOf(peer);
      sessions.delete(peer);
      session.close();
      onClosed(session);
    });
    return peer;
  }

  function refuseLater(peer: RpcPeer): void {
    timer.after(IDLE_LINGER, () => {
      if (!replicating.has(peer)) {
        peer.close('connection limit');
      }
    });
  }

  function accept(connection: Connection): void {
    const {connectionLimit, connectionSetup} = settings();
    const isAdmitted = counted.size < connectionLimit;
    if (isAdmitted) {
      counted.add(connection);
    }
    function serve(): void {
      const peer = open(connection, isAdmitted);
      if (!isAdmitted) {
        refuseLater(peer);
      }
    }
    // Until then the connection keeps what arrives.
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

  return {accept, sessionOf, count: () => counted.size, closeAll};
}
