/** Knows the connections of an HTTP server and which of them are in use. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Open connections, each with its number of requests without an answer. */
export function createConnectionTable(server: Server) {
  const requests = new Map<Socket, number>();
  let inFlight = 0;

  function change(socket: Socket, difference: number): void {
    inFlight += difference;
    const count = requests.get(socket);
    if (count !== undefined) {
      requests.set(socket, count + difference);
    }
  }

  function destroyWhere(condition: (socket: Socket) => boolean): void {
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
      change(socket, 1);
      response.once('close', () => change(socket, -1));
    },
    /** Ends connections by which no request ever came. */
    closeUnused: () => destroyWhere(socket => socket.bytesRead === 0),
    /** Ends all connections on which no answer is due. */
    closeUnanswered: () => destroyWhere(() => true),
  };
}
