// Clients of the proxies: sessions over the line protocol, and operations with retries.
import {connect} from 'node:net';

const CRLF = '\r\n';
const PROMISES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY']);
const STARTUP_LIMIT_MS = 2000;
let nextId = 1;

function newId() {
  return (nextId++).toString(16).padStart(16, '0');
}

/** Opens a session; `send` answers with its outcome, or 'lost' when the connection ends. */
export function openSession(address, database) {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const socket = connect({host, port: Number(port)});
    let text = '';
    let rows = [];
    let outcome;
    let isReady = false;
    let pending;
    const timeout = setTimeout(() => socket.destroy(), STARTUP_LIMIT_MS);
    function settle(result) {
      const done = pending;
      pending = undefined;
      done?.(result);
    }
    const session = {
      isOpen: () => !socket.destroyed && !socket.readableEnded,
      send(statement, id, limit) {
        return new Promise(done => {
          const timer = setTimeout(() => settle({code: 'no answer'}), Math.max(1, limit));
          pending = result => {
            clearTimeout(timer);
            done(result);
          };
          socket.write(`QUERY ${id} ${statement}${CRLF}`, 'latin1');
        });
      },
      close: () => socket.destroy(),
    };
    socket.setNoDelay(true);
    socket.on('connect', () => socket.write(`STARTUP ${database} key${CRLF}`));
    socket.on('data', chunk => {
      const lines = (text + chunk.toString('latin1')).split(CRLF);
      text = lines.pop();
      for (const line of lines) {
        const [word, first, ...rest] = line.split(' ');
        if (word === 'ROW') {
          rows.push(line.slice(4));
        } else if (word === 'COMPLETE') {
          outcome = {code: 'ok', receipt: first, rows};
        } else if (word === 'ERROR') {
          outcome = {code: first, text: rest.join(' '), rows: []};
        } else if (word === 'READY' && !isReady) {
          isReady = true;
          clearTimeout(timeout);
          resolve(session);
        } else if (word === 'READY') {
          const result = {...outcome, state: first};
          rows = [];
          settle(result);
        }
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timeout);
      settle({code: 'lost'});
      resolve(undefined);
    });
  });
}

function statementsOf({writes, transactions}, item) {
  const isWrite = Math.random() < writes;
  const one = () => (isWrite ? `WRITE ${item} ${Math.random().toString(36).slice(2, 10)}` : `READ ${item}`);
  if (Math.random() < transactions) {
    return [isWrite ? 'BEGIN' : 'BEGIN READ', one(), `READ ${item}`, 'COMMIT'];
  }
  return [one()];
}

/** Runs operations of one kind until `stop`, each in a session of its own. */
export function startClients({kind, proxies, perSecond, record}) {
  let isStopped = false;
  const open = new Set();

  async function attempt(statements, until) {
    const ready = proxies.filter(({inRotation}) => inRotation);
    const proxy = ready[Math.floor(Math.random() * ready.length)];
    if (proxy === undefined) {
      return {code: 'BUSY', proxy: ''};
    }
    const session = await openSession(proxy.callers, kind.database);
    if (session === undefined) {
      return {code: 'no session', proxy: proxy.name};
    }
    let result = {code: 'no answer'};
    let hasSentWrite = false;
    for (const statement of statements) {
      const id = newId();
      hasSentWrite ||= statement === 'COMMIT' || (statements.length === 1 && statement.startsWith('WRITE'));
      record('sent', {proxy: proxy.name, request: id, database: kind.database, statement});
      result = await session.send(statement, id, until - Date.now());
      record('answered', {request: id, code: result.code});
      if (result.code !== 'ok') {
        break;
      }
    }
    session.close();
    return {...result, hasSentWrite, proxy: proxy.name};
  }

  async function operate() {
    const startedAt = Date.now();
    const until = startedAt + kind.limitMs;
    const statements = statementsOf(kind, `i${Math.floor(Math.random() * 200)}`);
    let result;
    for (let tries = 0; tries < 3 && Date.now() < until; tries++) {
      result = await attempt(statements, until);
      const mayRetry = PROMISES.has(result.code) || (result.code !== 'ok' && !result.hasSentWrite);
      if (result.code === 'ok' || !mayRetry) {
        break;
      }
      await new Promise(done => setTimeout(done, 100));
    }
    const isServed = result.code === 'ok' && Date.now() <= until;
    record('operation', {
      database: kind.database,
      statements: statements.length,
      startedAt,
      isServed,
      code: result.code,
      ms: Date.now() - startedAt,
    });
  }

  const timer = setInterval(() => {
    if (!isStopped) {
      const operation = operate().finally(() => open.delete(operation));
      open.add(operation);
    }
  }, 1000 / perSecond);

  return {
    async stop() {
      isStopped = true;
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}
