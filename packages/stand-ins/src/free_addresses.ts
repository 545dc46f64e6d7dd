/** Finds free ports on loopback. */
import {createTcpTransport} from '@kelpstep/rpc';
import {promiseFromFuture} from '@kelpstep/runtime';

const ANY_PORT = '127.0.0.1:0';

/** Returns distinct addresses on 127.0.0.1 that no process listens on. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const transport = createTcpTransport();
  const listeners = [];
  for (let index = 0; index < count; index++) {
    const listening = transport.listen(ANY_PORT, () => {});
    listeners.push((await promiseFromFuture(listening)).unwrap());
  }
  listeners.forEach(listener => listener.close());
  return listeners.map(listener => listener.address);
}
