/** Entry point of the load generator process; its parent sends the orders. */
import {parseAddress} from '@kelpstep/rpc';
import {once} from 'node:events';
import {Socket, connect} from 'node:net';

import type {GeneratorOrder, GeneratorReport} from './load_plan';
import {runLoad} from './run_load';

const CONNECTION_BATCH_SIZE = 200;

let idleSockets: Socket[] = [];

function report(message: GeneratorReport): void {
  process.send?.(message);
}

async function openIdleConnection(address: string): Promise<Socket> {
  const socket = connect(parseAddress(address));
  await once(socket, 'connect');
  return socket;
}

/** Connects in batches to avoid overflowing the accept queue. */
async function openIdleConnections(
  address: string,
  connections: number,
): Promise<void> {
  while (idleSockets.length < connections) {
    const count = Math.min(
      CONNECTION_BATCH_SIZE,
      connections - idleSockets.length,
    );
    const opened = Array.from({length: count}, () =>
      openIdleConnection(address),
    );
    idleSockets.push(...(await Promise.all(opened)));
  }
}

async function handleOrder(order: GeneratorOrder): Promise<void> {
  switch (order.order) {
    case 'run':
      report({report: 'result', result: await runLoad(order.plan)});
      return;
    case 'hold':
      await openIdleConnections(order.address, order.connections);
      report({
        report: 'held',
        connections: idleSockets.filter(({destroyed}) => !destroyed).length,
      });
      return;
    case 'release':
      idleSockets.forEach(socket => socket.destroy());
      idleSockets = [];
      report({report: 'released'});
  }
}

process.on('message', (order: GeneratorOrder) => void handleOrder(order));
process.on('disconnect', () => process.exit());
