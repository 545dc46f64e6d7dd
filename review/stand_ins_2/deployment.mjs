// A small deployment: one service of three databases, the platform, three proxies and
// clients, with figures of the small sites kps-handbook and bitacora-ptar, and less traffic. A case adds
// its disruption and the final fault; the check is the rule RECOVER.
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

import {startClients} from './clients.mjs';
import {createService} from './databases.mjs';
import {createPlatform} from './platform.mjs';
import {createProxies} from './proxies.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const SERVICE = 'hbcore';
const IDS = ['i-1', 'i-2', 'i-3'];
/** The same on both sites. */
const BOUNDS = {fencing: true, graceS: 6, configApplyMs: 3000, drainMs: 7000, recoveryS: 12};
const KINDS = {
  primary: {database: 'ackfiling', kind: 'primary', perSecond: 6, transactions: 0.25, limitMs: 2500, aimMs: 400, priority: 1},
  bounded: {database: 'handbook', kind: 'bounded', perSecond: 6, writes: 0, transactions: 0.1, priority: 2, stalenessMs: 1500},
  own: {database: 'leave', kind: 'read_your_writes', perSecond: 28, writes: 0.12, transactions: 0.12, limitMs: 2500, aimMs: 800, priority: 2, stalenessMs: 2500},
};
const SITES = {
  'kps-handbook': {
    slots: 3,
    maxConns: 22,
    promoteMs: 300,
    kinds: [
      {...KINDS.primary, writes: 0.2, timeoutMs: 800},
      {...KINDS.bounded, limitMs: 5000, timeoutMs: 2000, aimMs: 800},
      {...KINDS.own, timeoutMs: 800},
    ],
  },
  'bitacora-ptar': {
    slots: 5,
    maxConns: 55,
    promoteMs: 1000,
    kinds: [
      {...KINDS.primary, writes: 0.35, timeoutMs: 1000},
      {...KINDS.bounded, limitMs: 6000, timeoutMs: 3000, aimMs: 1000},
      {...KINDS.own, timeoutMs: 1000},
    ],
  },
};
const REPORT_INTERVAL_MS = 1200;
/** An entry goes after three report intervals of silence. */
const ENTRY_LIFETIME_MS = 3 * REPORT_INTERVAL_MS;
const WARM_UP_MS = 6000;
const BEFORE_MS = 8000;
const DOWN_MS = 1000;
const AFTER_MS = 12_000;
const READY_LIMIT_MS = 15_000;
/** RECOVER: less than a quarter served after, a quarter or more before. */
const QUARTER = 0.25;

export const pause = ms => new Promise(done => setTimeout(done, ms));

function createConfig({kinds, maxConns}) {
  return {
    version: 7,
    routes: kinds.map(kind => ({
      name: `r-${kind.database}`,
      host: kind.database,
      prefix: '/',
      kind: kind.kind,
      service: SERVICE,
      'timeout-ms': kind.timeoutMs,
      'target-latency-ms': kind.aimMs,
      priority: kind.priority,
      'max-attempts': 2,
      ...(kind.stalenessMs === undefined ? {} : {'max-staleness-ms': kind.stalenessMs}),
    })),
    services: [{name: SERVICE, 'health-path': '/health', 'max-conns': maxConns, 'sync-replicas': 1}],
    limits: {'tx-idle-ms': 3000},
  };
}

/** Reports of the databases, as long as they run, and the end of entries that fall silent. */
function startReports(service, platform) {
  const reportedAt = new Map();
  const states = new Map();
  const stateOf = db => `${db.state} ${db.role} ${db.born}`;
  function report(db) {
    platform.put('servers', db.id, service.entryOf(db));
    reportedAt.set(db.id, Date.now());
    states.set(db.id, stateOf(db));
  }
  return setInterval(() => {
    for (const id of [...reportedAt.keys()].filter(known => !service.databases.has(known))) {
      platform.remove('servers', id);
      reportedAt.delete(id);
    }
    for (const db of service.databases.values()) {
      const at = reportedAt.get(db.id);
      const isChanged = states.get(db.id) !== stateOf(db);
      if (db.isRunning && (isChanged || Date.now() - (at ?? 0) >= REPORT_INTERVAL_MS)) {
        report(db);
      } else if (!db.isRunning && at !== undefined && Date.now() - at > ENTRY_LIFETIME_MS) {
        platform.remove('servers', db.id);
        reportedAt.delete(db.id);
      }
    }
  }, 50);
}

async function waitUntilReady(proxies) {
  const until = Date.now() + READY_LIMIT_MS;
  while (Date.now() < until) {
    const ready = await Promise.all(proxies.map(proxy => proxy.isReady()));
    if (ready.every(Boolean)) {
      return true;
    }
    await pause(200);
  }
  return false;
}

/**
 * Runs a case and ends the process with 1 if RECOVER was broken, 0 if it held and 2 if the
 * case couldn't run. `disrupt` is called before the final fault, and resolves when the
 * final fault is to strike; it leaves its disruption out without `hasTrouble`.
 */
export async function runCase({folder, site, disrupt}) {
  const figures = SITES[site];
  const hasTrouble = process.env.TROUBLE !== '0';
  const recordPath = join(folder, 'record.txt');
  const directory = mkdtempSync(join(tmpdir(), 'kelpstep-review-'));
  const startedAt = Date.now();
  const operations = [];
  const lines = [];
  function record(event, fields) {
    if (event === 'operation') {
      operations.push(fields);
    }
    lines.push(`${Date.now() - startedAt} ${event} ${JSON.stringify(fields)}\n`);
  }
  function servedShare(name, from, to) {
    const counted = operations.filter(({startedAt: at}) => at >= from && at < to);
    const served = counted.filter(({isServed}) => isServed).length;
    record(`served ${name}`, {from: from - startedAt, to: to - startedAt, operations: counted.length, served});
    return served / counted.length;
  }

  writeFileSync(recordPath, '');
  let onRow = () => {};
  const service = createService({name: SERVICE, ids: IDS, slots: figures.slots, maxConns: figures.maxConns, promoteMs: figures.promoteMs, record});
  await service.listen();
  const platform = createPlatform({
    services: [service],
    isFenced: BOUNDS.fencing,
    record,
    onWritten: (...row) => onRow(...row),
  });
  const address = await platform.listen();
  platform.put('op', 'config', createConfig(figures));
  const reports = startReports(service, platform);
  const proxies = await createProxies({root: ROOT, directory, count: 3, platform: address, bounds: BOUNDS, record});
  const probes = setInterval(() => {
    proxies.forEach(async proxy => {
      proxy.misses = (await proxy.isReady()) ? 0 : (proxy.misses ?? 0) + 1;
      proxy.inRotation = proxy.misses < 2;
    });
  }, 1000);
  let exitCode = 2;
  try {
    proxies.forEach(proxy => proxy.start());
    if (!(await waitUntilReady(proxies))) {
      throw new Error('the proxies did not become ready');
    }
    proxies.forEach(proxy => (proxy.inRotation = true));
    const clients = figures.kinds.map(kind => startClients({kind, proxies, perSecond: kind.perSecond, record}));
    await pause(WARM_UP_MS);
    const before = Date.now();
    await pause(BEFORE_MS);
    await disrupt({service, platform, record, hasTrouble, setRowListener: listener => (onRow = listener)});
    const fault = Date.now();
    record('final fault', {});
    await Promise.all(
      proxies.map(proxy => {
        proxy.signal('SIGKILL');
        return proxy.end();
      }),
    );
    await pause(DOWN_MS);
    proxies.forEach(proxy => proxy.start());
    record('ready again', {all: await waitUntilReady(proxies)});
    await pause(BOUNDS.recoveryS * 1000);
    const from = Date.now();
    await pause(AFTER_MS);
    const to = Date.now();
    await Promise.all(clients.map(client => client.stop()));
    const shareBefore = servedShare('before', before, fault);
    const shareAfter = servedShare('after', from, to);
    const isBroken = shareAfter < QUARTER;
    record('verdict', {shareBefore, shareAfter, isBroken});
    console.log(`served before ${shareBefore.toFixed(3)}, after ${shareAfter.toFixed(3)}: RECOVER ${isBroken ? 'broken' : 'held'}`);
    exitCode = shareBefore >= QUARTER ? Number(isBroken) : 2;
  } catch (error) {
    console.log(String(error.stack));
  } finally {
    clearInterval(reports);
    clearInterval(probes);
    await Promise.all(proxies.map(proxy => proxy.end()));
    service.close();
    platform.close();
    appendFileSync(recordPath, lines.join(''));
    if (process.env.KEEP_LOGS === '1') {
      console.log(directory);
    } else {
      rmSync(directory, {recursive: true, force: true});
    }
  }
  process.exit(exitCode);
}
