/** Finds free ports on loopback. */
import {type Listener, createTcpTransport} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';
import {randomInt} from 'node:crypto';

const HOST = '127.0.0.1';
/**
 * Ports below those that a system gives to sockets that ask for any (from
 * 32768): none gets an address before its process listens, or while it is down.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Addresses that were returned, whose processes may not listen yet. */
const reserved = new Set<string>();

/** Returns distinct addresses on 127.0.0.1 that no process listens on. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const transport = createTcpTransport();
  const listeners: Listener[] = [];
  while (listeners.length < count) {
    const address = `${HOST}:${randomInt(FIRST_PORT, LAST_PORT + 1)}`;
    if (reserved.has(address)) {
      continue;
    }
    const listening = transport.listen(address, () => {});
    const listener = await promiseFromFuture(listening);
    if (listener.ok) {
      reserved.add(address);
      listeners.push(listener.val);
    } else if (listener.val.kind !== 'address-in-use') {
      listener.unwrap();
    }
  }
  listeners.forEach(listener => listener.close());
  return listeners.map(({address}) => address);
}
