/**
 * Starts a small deployment: stand-ins of the platform and of one service, and
 * proxies as processes, with the command and the settings template of the
 * deploy file.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {
  createLineSplitter,
  now,
  splitWord,
  startPath,
  startPromotions,
  startService,
  startStore,
} from './stand_ins.mjs';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const HOST = '127.0.0.1';
const HEARTBEAT_MS = 1200;
const START_TIMEOUT_MS = 20_000;

export const EXIT = {held: 0, broken: 1, notRun: 2};
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

async function findPorts(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    server.listen(0, HOST);
    await once(server, 'listening');
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(server => once(server.close(), 'close')));
  return ports;
}

const lookUp = (fields, name) =>
  name.split('.').reduce((value, key) => value?.[key], fields);

/** Fills in a template as the platform does; only the forms that occur in it. */
function fillIn(template, fields) {
  return template
    .replace(
      /\{\{#([\w.-]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g,
      (all, name, body) => (lookUp(fields, name) === undefined ? '' : body),
    )
    .replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (all, name, json) => {
      const value = lookUp(fields, name);
      if (value === undefined) {
        return '';
      }
      return json ? JSON.stringify(value) : String(value);
    });
}

function readDeployFile() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const field = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1];
  return {run: field('run').split(' '), template: field('template')};
}

async function isReady(address) {
  return new Promise(resolve => {
    const request = get(`http://${address}/ready`, response => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

/**
 * Starts the deployment that `site` describes, with `proxyCount` proxies.
 * Returns its parts, and `stop`, which ends all of them.
 */
export async function startDeployment(
  site,
  proxyCount,
  onEvent,
  onPromotion = () => {},
) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  const store = await startStore();
  const service = await startService({...site.service, onEvent});
  const promotions = await startPromotions(service, {
    delayMs: site.promotionDelayMs,
    onCall: onPromotion,
  });
  const promotionPath = await startPath(
    promotions.address,
    site.service.networkMs,
  );
  const proxies = [];

  function beat(seq) {
    for (const {id, address, zone, role, state} of service.databases) {
      store.write('servers', id, {
        service: site.service.name,
        address,
        zone,
        version: 'v1',
        slots: site.service.slots,
        state,
        'cold-left-ms': 0,
        'db-role': role,
        seq,
      });
    }
  }

  let seq = 1;
  beat(seq);
  const beats = setInterval(() => beat(++seq), HEARTBEAT_MS);
  store.write('op', 'config', site.config);
  const {run, template} = readDeployFile();
  const text = readFileSync(path.join(ROOT, template), 'utf8');
  const ports = await findPorts(5 * proxyCount);
  const addresses = ports.map(port => `${HOST}:${port}`);

  // No proxy outlives the script, however it ends.
  process.once('exit', () =>
    proxies.forEach(({child}) => child.kill('SIGKILL')),
  );
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.once(signal, () => process.exit(EXIT.notRun));
  }

  /** Starts a proxy, or starts it again after it has ended. */
  function startProxy(index) {
    const [front, ready, control] = addresses.slice(5 * index);
    const zone = site.zones[index % site.zones.length];
    const file = path.join(folder, `node-${index}.yaml`);
    const fields = {
      ...site.settings,
      node: `front-${zone}-${index}`,
      zone,
      region: site.zoneRegions[zone],
      ip: HOST,
      listen: {front, ready, control},
      'internal-ports': ports.slice(5 * index + 3, 5 * index + 5),
      seeds: [addresses[2], addresses[7]].filter(Boolean),
      platform: {address: store.address},
      cloud: {address: promotionPath.address},
    };
    writeFileSync(file, fillIn(text, fields));
    const child = spawn(run[0], run.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        KELPSTEP_CONFIG: file,
        KELPSTEP_LOG: 'info',
      },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    const known = proxies[index] ?? {front, ready, node: fields.node};
    proxies[index] = Object.assign(known, {child});
  }

  /** Waits until a proxy is ready; false if it isn't in time. */
  async function awaitReady({ready}) {
    const deadline = now() + START_TIMEOUT_MS;
    while (!(await isReady(ready))) {
      if (now() > deadline) {
        return false;
      }
      await sleep(100);
    }
    return true;
  }

  for (let index = 0; index < proxyCount; index++) {
    startProxy(index);
  }
  const areReady = [];
  for (const proxy of proxies) {
    areReady.push(await awaitReady(proxy));
  }

  async function stop() {
    clearInterval(beats);
    for (const {child} of proxies) {
      if (child.exitCode === null && child.signalCode === null) {
        const exited = once(child, 'exit');
        child.kill('SIGKILL');
        await exited;
      }
    }
    store.close();
    service.close();
    promotions.close();
    promotionPath.close();
    rmSync(folder, {recursive: true, force: true});
  }

  return {
    store,
    service,
    proxies,
    startProxy,
    awaitReady,
    announce: () => beat(++seq),
    stop,
    isStarted: areReady.every(Boolean),
  };
}

/** A client session at a proxy; each request is awaited before the next. */
export async function openSession(address, database) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  const answers = [];
  let waiting;
  let current = [];
  let isEnded = false;

  function settle(answer) {
    if (waiting === undefined) {
      answers.push(answer);
    } else {
      waiting(answer);
      waiting = undefined;
    }
  }

  const split = createLineSplitter(line => {
    current.push(line);
    const [word] = splitWord(line);
    if (word === 'READY') {
      settle({lines: current, at: now()});
      current = [];
    }
  });
  socket.on('data', split);
  socket.on('error', () => {});
  socket.on('close', () => {
    isEnded = true;
    settle({lines: current, at: now(), isCut: true});
  });

  function nextAnswer() {
    const answer = answers.shift();
    if (answer !== undefined || isEnded) {
      return Promise.resolve(answer ?? {lines: [], at: now(), isCut: true});
    }
    return new Promise(resolve => {
      waiting = resolve;
    });
  }

  socket.write(`STARTUP ${database}\r\n`, 'latin1');
  const opened = await nextAnswer();
  return {
    isOpen: opened.isCut !== true,
    isEnded: () => isEnded,
    /** Sends a query; the answer has `isCut` if the connection ended first. */
    query(id, text) {
      socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
      return nextAnswer();
    },
    /** Sends bytes as they are. */
    write: bytes => socket.write(bytes, 'latin1'),
    nextAnswer,
    close: () => socket.destroy(),
  };
}
