/** Transport over TCP, with one JSON value per line. */
import {Deferred, createDeferred} from '@kelpstep/runtime';
import {createServer, connect, type Server, type Socket} from 'node:net';
import {Err, Ok, Result} from 'ts-results';

import {
  Address,
  Connection,
  ConnectionListener,
  Listener,
  Transport,
  TransportError,
} from './transport';

/** Default of the longest line that is accepted, in bytes. */
export const DEFAULT_MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

export interface TcpTransportOptions {
  /** Connections that receive a longer line are closed. */
  readonly maximumFrameBytes?: number;
}

/** A transport that can close all its sockets to let the process exit. */
export interface TcpTransport extends Transport {
  /**
   * Closes all connections and pending dials. Nothing else closes a connection
   * whose task was cancelled while dialling.
   */
  close(): void;
}

/** Parses `ip:port`. */
export function parseAddress(address: Address): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

const HIGHEST_PORT = 65_535;

/** False if opening a connection to the address would throw. */
export function isDialable(address: Address): boolean {
  const {port} = parseAddress(address);
  return Number.isInteger(port) && port > 0 && port <= HIGHEST_PORT;
}

const LINE_FEED = 0x0a;

/** Splits a byte stream into lines; `undefined` if a line is too long. */
function createLineSplitter(maximumBytes: number) {
  let chunks: Buffer[] = [];
  let pendingBytes = 0;

  return function split(chunk: Buffer): string[] | undefined {
    const lines: string[] = [];
    let start = 0;
    let end = chunk.indexOf(LINE_FEED);
    while (end >= 0) {
      const lineEnd = chunk.subarray(start, end);
      const line =
        chunks.length === 0 ? lineEnd : Buffer.concat([...chunks, lineEnd]);
      chunks = [];
      pendingBytes = 0;
      lines.push(line.toString('utf8'));
      start = end + 1;
      end = chunk.indexOf(LINE_FEED, start);
    }
    if (start < chunk.length) {
      const rest = chunk.subarray(start);
      chunks.push(rest);
      pendingBytes += rest.length;
    }
    return pendingBytes > maximumBytes ? undefined : lines;
  };
}

function parseLine(line: string): Result<unknown, undefined> {
  try {
    return Ok(JSON.parse(line));
  } catch {
    return Err(undefined);
  }
}

function createTcpConnection(
  socket: Socket,
  maximumFrameBytes: number,
): Connection {
  const splitLines = createLineSplitter(maximumFrameBytes);
  const earlyMessages: unknown[] = [];
  let listener: ConnectionListener | undefined;
  let closeReason: string | undefined;

  // Messages of one turn of the event loop are written to the socket together.
  let outgoing = '';

  function flush(): void {
    const batch = outgoing;
    outgoing = '';
    if (closeReason === undefined) {
      socket.write(batch);
    }
  }

  function send(message: object): void {
    if (closeReason !== undefined) {
      return;
    }
    if (outgoing === '') {
      process.nextTick(flush);
    }
    outgoing += JSON.stringify(message) + '\n';
  }

  function end(reason: string): void {
    if (closeReason !== undefined) {
      return;
    }
    closeReason = reason;
    socket.destroy();
    listener?.onClose(reason);
  }

  function deliver(line: string): void {
    const message = parseLine(line);
    if (message.err) {
      end('not JSON');
    } else if (listener === undefined) {
      earlyMessages.push(message.val);
    } else {
      listener.onMessage(message.val);
    }
  }

  socket.setNoDelay(true);
  socket.on('data', chunk => {
    const lines = splitLines(chunk);
    if (lines === undefined) {
      end('frame too large');
      return;
    }
    for (const line of lines) {
      if (closeReason === undefined) {
        deliver(line);
      }
    }
  });
  socket.on('error', error => end(error.message));
  socket.on('close', () => end('closed by the other end'));

  return {
    remoteAddress: `${socket.remoteAddress}:${socket.remotePort}`,
    send,
    close(reason) {
      if (outgoing !== '') {
        flush();
      }
      end(reason);
    },
    listen(newListener) {
      listener = newListener;
      for (const message of earlyMessages.splice(0)) {
        listener.onMessage(message);
      }
      if (closeReason !== undefined) {
        listener.onClose(closeReason);
      }
    },
  };
}

function createDialError(error: NodeJS.ErrnoException): TransportError {
  const kind = error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
  return {kind, message: error.message};
}

function createListenError(error: NodeJS.ErrnoException): TransportError {
  const kind = error.code === 'EADDRINUSE' ? 'address-in-use' : 'unreachable';
  return {kind, message: error.message};
}

/** Creates the transport for daemons. */
export function createTcpTransport(
  options: TcpTransportOptions = {},
): TcpTransport {
  const maximumFrameBytes =
    options.maximumFrameBytes ?? DEFAULT_MAXIMUM_FRAME_BYTES;
  const sockets = new Set<Socket>();

  function trackSocket(socket: Socket): void {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  }

  function dial(address: Address, timeout: number) {
    const deferred = createDeferred<Result<Connection, TransportError>>();
    if (!isDialable(address)) {
      const message = `No address to connect to: ${address}.`;
      deferred.settle(Err({kind: 'unreachable', message}));
      return deferred.future;
    }
    const socket = connect(parseAddress(address));
    trackSocket(socket);
    socket.setTimeout(timeout, () => {
      deferred.settle(
        Err({kind: 'timeout', message: 'No connection in time.'}),
      );
      socket.destroy();
    });
    socket.once('error', error => deferred.settle(Err(createDialError(error))));
    socket.once('connect', () => {
      socket.setTimeout(0);
      deferred.settle(Ok(createTcpConnection(socket, maximumFrameBytes)));
    });
    return deferred.future;
  }

  function listen(address: Address, accept: (connection: Connection) => void) {
    const deferred = createDeferred<Result<Listener, TransportError>>();
    const server = createServer(socket => {
      trackSocket(socket);
      accept(createTcpConnection(socket, maximumFrameBytes));
    });
    server.once('error', error =>
      deferred.settle(Err(createListenError(error))),
    );
    startListening(server, address, deferred);
    return deferred.future;
  }

  function close(): void {
    sockets.forEach(socket => socket.destroy());
  }

  return {dial, listen, close};
}

function startListening(
  server: Server,
  address: Address,
  deferred: Deferred<Result<Listener, TransportError>>,
): void {
  const {host, port} = parseAddress(address);
  server.listen(port, host, () => {
    const bound = server.address();
    const boundPort =
      bound === null || typeof bound === 'string' ? port : bound.port;
    deferred.settle(
      Ok({address: `${host}:${boundPort}`, close: () => server.close()}),
    );
  });
}
