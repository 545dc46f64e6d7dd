import {expect} from 'earl';
import {
  type RequestListener,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, describe, test} from 'node:test';

import {EXIT_CODES} from '..';
import {runCommand} from './run_command';

/** Time of the command until it gives up a proxy. */
const TIMEOUT_MS = 2000;
const MAXIMUM_REQUESTS = 64;

const servers: Server[] = [];
after(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

/** Starts a stand-in of a proxy's metrics port and returns its address. */
async function serve(listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  servers.push(server);
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function serveText(text: string): Promise<string> {
  return serve((unusedRequest, response) => response.end(text));
}

/** An address at which nothing listens. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}

const FIRST = `# HELP kelpstep_group_connections Connections.
# TYPE kelpstep_group_connections gauge
kelpstep_group_connections{group="orders",target="t1",state="idle"} 2
kelpstep_group_connections{group="orders",target="t1",state="used"} 1
kelpstep_group_connections{group="orders",target="t1",state="pinned"} 3
kelpstep_group_queue{group="orders",target="t1"} 4
kelpstep_refusals_total{group="orders",reason="no room"} 12
kelpstep_targets_ejected{group="orders"} 1
kelpstep_account_operations_total{account="north"} 120
kelpstep_account_operations_total{account="all others"} 900
kelpstep_account_quota_refusals_total{account="north"} 7
`;
const SECOND = `kelpstep_group_connections{group="orders",target="t1",state="used"} 5
kelpstep_group_connections{group="stock",target="t2",state="idle"} 30
kelpstep_group_queue{group="stock",target="t2"} 0
kelpstep_account_operations_total{account="south"} 300
kelpstep_account_operations_total{account="north"} 10
kelpstep_session_info{key="secret-key",keyDigest="secret-digest"} 1
`;
const TABLES = [
  'group   open  used  pinned  queued  refused  ejected',
  'orders    11     6       3       4       12        1',
  'stock     30     0       0       0        0        0',
  '',
  'account     operations  refused for quota',
  'south              300                  0',
  'north              130                  7',
  'all others         900                  0',
];

describe('load', () => {
  // Guards against sums over some of the proxies only, and against keys of
  // accounts in the output.
  test('prints sums by group and by account, and no key', async () => {
    const addresses = [await serveText(FIRST), await serveText(SECOND)];
    const run = await runCommand(['load', ...addresses]);
    expect(run).toEqual({code: EXIT_CODES.ok, results: TABLES, errors: []});
    expect(JSON.stringify(run)).not.toInclude('secret');
  });

  // Guards against a proxy that is counted twice.
  test('counts an address once', async () => {
    const [first, second] = [await serveText(FIRST), await serveText(SECOND)];
    const {results} = await runCommand(['load', first, second, first]);
    expect(results).toEqual(TABLES);
  });

  test('prints one JSON object on request', async () => {
    const address = await serveText(SECOND);
    const {results, code} = await runCommand(['load', address, '--json']);
    const rest = {queued: 0, refused: 0, ejected: 0};
    expect(results.map(result => JSON.parse(result))).toEqual([
      {
        proxies: 1,
        failed: [],
        groups: [
          {group: 'orders', open: 5, used: 5, pinned: 0, ...rest},
          {group: 'stock', open: 30, used: 0, pinned: 0, ...rest},
        ],
        accounts: [
          {account: 'south', operations: 300, refusedForQuota: 0},
          {account: 'north', operations: 10, refusedForQuota: 0},
        ],
      },
    ]);
    expect(code).toEqual(EXIT_CODES.ok);
  });

  // Guards against a command that waits without end for one proxy, or whose
  // sums seem complete.
  test('names proxies that do not answer, and leaves them out', async () => {
    const addresses = [
      await serveText(FIRST),
      await serveText(SECOND),
      await freeAddress(),
      // Answers neither at all, nor in whole.
      await serve(() => {}),
      await serve((unusedRequest, response) => response.write(FIRST)),
      await serve((unusedRequest, response) => {
        response.statusCode = 503;
        response.end(FIRST);
      }),
      await serveText('<html>other</html>'),
    ];
    const startedAt = performance.now();
    const {code, results, errors} = await runCommand(['load', ...addresses]);
    const duration = performance.now() - startedAt;
    expect([code, results]).toEqual([EXIT_CODES.failure, TABLES]);
    const [, , free, silent, partial, failing, foreign] = addresses;
    expect(errors).toEqual([
      '5 of 7 proxies did not answer and are not in the sums:',
      `${free}: ECONNREFUSED`,
      `${silent}: The operation was aborted due to timeout`,
      `${partial}: The operation was aborted due to timeout`,
      `${failing}: status 503`,
      `${foreign}: no metrics of a proxy`,
    ]);
    // All are asked in parallel.
    expect(duration < 2 * TIMEOUT_MS).toEqual(true);

    const json = await runCommand(['load', ...addresses, '--json']);
    const {proxies, failed} = JSON.parse(json.results[0] ?? '');
    expect([json.code, proxies, failed.length]).toEqual([
      EXIT_CODES.failure,
      2,
      5,
    ]);
  });

  // Guards against thousands of sockets when a whole deployment is named.
  test('has at most 64 requests open', async () => {
    const held: ServerResponse[] = [];
    let isReleased = false;
    let mostHeld = 0;
    const release = () => {
      isReleased = true;
      held.splice(0).forEach(response => response.end(SECOND));
    };
    const listener: RequestListener = (unusedRequest, response) => {
      if (isReleased) {
        response.end(SECOND);
        return;
      }
      held.push(response);
      mostHeld = Math.max(mostHeld, held.length);
      if (held.length === MAXIMUM_REQUESTS) {
        // A further request would arrive in this time.
        setTimeout(release, 200);
      }
    };
    const addresses = await Promise.all(
      Array.from({length: MAXIMUM_REQUESTS + 10}, () => serve(listener)),
    );
    const {code, results} = await runCommand(['load', ...addresses, '--json']);
    expect([code, mostHeld]).toEqual([EXIT_CODES.ok, MAXIMUM_REQUESTS]);
    expect(JSON.parse(results[0] ?? '').proxies).toEqual(addresses.length);
  });

  test('needs an address', async () => {
    expect((await runCommand(['load'])).code).toEqual(EXIT_CODES.usage);
  });
});
