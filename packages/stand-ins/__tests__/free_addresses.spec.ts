import {parseAddress} from '@kelpstep/rpc';
import {expect} from 'earl';
import {existsSync, readFileSync} from 'node:fs';
import {describe, test} from 'node:test';

import {findFreeAddresses} from '..';

/** Ports that the system gives to whoever asks for any; absent if not Linux. */
const EPHEMERAL_PORTS = '/proc/sys/net/ipv4/ip_local_port_range';

function readEphemeralPorts(): [number, number] {
  const text = existsSync(EPHEMERAL_PORTS)
    ? readFileSync(EPHEMERAL_PORTS, 'utf8')
    : '32768 65535';
  const [first = 0, last = 0] = text.trim().split(/\s+/).map(Number);
  return [first, last];
}

describe('free addresses', () => {
  // Guards against a stand-in that can't start as another process got its port.
  test('are not given to other sockets before they are used', async () => {
    const [first, last] = readEphemeralPorts();
    const addresses = await findFreeAddresses(50);
    const ports = addresses.map(address => parseAddress(address).port);
    expect(ports.filter(port => port >= first && port <= last)).toEqual([]);
  });

  test('are returned once', async () => {
    const calls = [findFreeAddresses(500), findFreeAddresses(500)];
    const addresses = (await Promise.all(calls)).flat();
    expect(new Set(addresses).size).toEqual(addresses.length);
  });
});
