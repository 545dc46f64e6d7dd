/** Tracks the connections of an HTTP server and which of them are idle. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Counts the requests in flight of each open connection. */
export function createConnectionTracker(server: Server) {
  const requests = new Map<Socket, number>();
  let inFlight = 0;

  function adjustCount(socket: Socket, difference: number): void {
    inFlight += difference;
    const count = requests.get(socket);
    if (count !== undefined) {
      requests.set(socket, count + difference);
    }
  }

  function destroyIdle(condition: (socket: Socket) => boolean): void {
    for (const [socket, count] of requests) {
      if (count === 0 && condition(socket)) {
        socket.destroy();
      }
    }
  }

  server.on('connection', socket => {
    requests.set(socket, 0);
    socket.once('close', () => requests.delete(socket));
  });

  return {
    size: () => requests.size,
    inFlight: () => inFlight,
    requestStarted(request: IncomingMessage, response: ServerResponse): void {
      const {socket} = request;
      adjustCount(socket, 1);
      response.once('close', () => adjustCount(socket, -1));
    },
    /** Destroys idle connections on which no byte has been received. */
    closeUnused: () => destroyIdle(socket => socket.bytesRead === 0),
    /** Destroys all connections without a request in flight. */
    closeIdle: () => destroyIdle(() => true),
  };
}
