/** The load generator's process: takes orders from its parent. */
import {parseAddress} from '@kelpstep/rpc';
import {once} from 'node:events';
import {Socket, connect} from 'node:net';

import type {GeneratorOrder, GeneratorReport} from './load_plan';
import {runLoad} from './run_load';

const CONNECTIONS_AT_A_TIME = 200;

let held: Socket[] = [];

function report(message: GeneratorReport): void {
  process.send?.(message);
}

async function openIdle(address: string): Promise<Socket> {
  const socket = connect(parseAddress(address));
  await once(socket, 'connect');
  return socket;
}

/** In batches, so that no accept queue runs over. */
async function hold(address: string, connections: number): Promise<void> {
  while (held.length < connections) {
    const count = Math.min(CONNECTIONS_AT_A_TIME, connections - held.length);
    const opened = Array.from({length: count}, () => openIdle(address));
    held.push(...(await Promise.all(opened)));
  }
}

async function carryOut(order: GeneratorOrder): Promise<void> {
  switch (order.order) {
    case 'run':
      report({report: 'result', result: await runLoad(order.plan)});
      return;
    case 'hold':
      await hold(order.address, order.connections);
      report({
        report: 'held',
        connections: held.filter(({destroyed}) => !destroyed).length,
      });
      return;
    case 'release':
      held.forEach(socket => socket.destroy());
      held = [];
      report({report: 'released'});
  }
}

process.on('message', (order: GeneratorOrder) => void carryOut(order));
process.on('disconnect', () => process.exit());
