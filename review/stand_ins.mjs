/**
 * Stand-ins of the platform's store, of the promotion call and of one service of
 * databases, as the users' pages describe them. They listen on loopback.
 */
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {performance} from 'node:perf_hooks';

const HOST = '127.0.0.1';
/** Messages waiting for a slot; one more is answered with BUSY. */
const QUEUE_LENGTH = 24;
/** Largest difference between the delays of two connections. */
const PATH_VARIATION_MS = 1.5;

export const now = () => Math.round(performance.now());
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function listen(server, host = HOST) {
  return new Promise(resolve =>
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`)),
  );
}

/** Splits a byte stream into lines that end with CR LF, and with nothing else. */
export function createLineSplitter(onLine) {
  let rest = Buffer.alloc(0);
  return chunk => {
    rest = Buffer.concat([rest, chunk]);
    for (;;) {
      const end = rest.indexOf('\r\n');
      if (end < 0) {
        return;
      }
      const line = rest.subarray(0, end).toString('latin1');
      rest = rest.subarray(end + 2);
      onLine(line);
    }
  };
}

export function splitWord(text) {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

/** The platform's metadata store: rows, transactions and the feed. */
export async function startStore() {
  const rows = new Map();
  const watchers = new Set();
  let version = 0;

  const keyOf = ({table, part = '', key}) => JSON.stringify([table, part, key]);

  function put({table, part = '', key, value}) {
    rows.set(keyOf({table, part, key}), {
      table,
      part,
      key,
      value,
      ver: version,
    });
  }

  function transact({precondition = [], puts = [], remove = []}) {
    const failed = precondition.filter(
      row => (rows.get(keyOf(row))?.ver ?? 0) !== row.ver,
    );
    if (failed.length > 0) {
      const current = failed.flatMap(row => rows.get(keyOf(row)) ?? []);
      return [412, {rows: current}];
    }
    version += 1;
    puts.forEach(put);
    for (const row of remove) {
      const {table, part = '', key} = row;
      rows.set(keyOf(row), {table, part, key, ver: version, deleted: true});
    }
    [...watchers].forEach(check => check());
    return [200, {}];
  }

  function select(table, after, withDeleted) {
    return [...rows.values()]
      .filter(row => row.table === table && row.ver > after)
      .filter(row => withDeleted || !row.deleted)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  function reply(response, status, body) {
    const text = JSON.stringify({...body, ver: version, 'now-ms': now()});
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(text);
  }

  function feed(response, parameters) {
    const table = parameters.get('table');
    const after = Number(parameters.get('after'));
    const wait = Number(parameters.get('wait-ms'));
    const finish = () => {
      watchers.delete(check);
      clearTimeout(timeout);
      reply(response, 200, {rows: select(table, after, true)});
    };
    const check = () => select(table, after, true).length > 0 && finish();
    const timeout = setTimeout(finish, wait);
    watchers.add(check);
    check();
  }

  const server = createHttpServer(async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    await sleep(4);
    if (url.pathname === '/rows-tx') {
      const text = Buffer.concat(chunks).toString();
      reply(response, ...transact(JSON.parse(text)));
    } else if (url.pathname === '/rows-get') {
      const from = url.searchParams.get('from') ?? '';
      const found = select(url.searchParams.get('table'), 0, false);
      const page = found.filter(({key}) => key >= from);
      reply(response, 200, {rows: page, 'has-more': false});
    } else if (url.pathname === '/rows-feed') {
      feed(response, url.searchParams);
    } else {
      reply(response, 404, {});
    }
  });

  return {
    address: await listen(server),
    /** Writes a row as the operator or a database does. */
    write(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      transact({puts: [{table, key, value: text}]});
    },
    remove: (table, key) => transact({remove: [{table, key}]}),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * One service: a primary and its replicas. `onEvent` is called with what the
 * databases run. Times are in milliseconds; `networkMs` is one way.
 */
export async function startService(options) {
  const {name, count, slots, networkMs, promoteMs, onEvent} = options;
  let term = 1;
  let replacements = 0;
  const databases = [];

  function positionOf({log}) {
    const last = log[log.length - 1];
    return last === undefined ? '0.0' : `${last.term}.${last.number}`;
  }

  function includes(database, position) {
    const [wantedTerm, wantedNumber] = position.split('.').map(Number);
    const [ownTerm, ownNumber] = positionOf(database).split('.').map(Number);
    return (
      ownTerm > wantedTerm ||
      (ownTerm === wantedTerm && ownNumber >= wantedNumber)
    );
  }

  /** Takes a slot for some time; false if too many wait already. */
  async function occupy(database, ms) {
    if (database.waiting.length >= QUEUE_LENGTH) {
      return false;
    }
    if (database.busy >= slots) {
      await new Promise(resolve => database.waiting.push(resolve));
    }
    database.busy += 1;
    await sleep(ms);
    database.busy -= 1;
    database.waiting.shift()?.();
    return true;
  }

  /** Appends a commit and waits until a replica has received it. */
  async function commit(primary, writes) {
    const number = primary.log.length + 1;
    const entry = {term, number, writes};
    primary.log.push(entry);
    writes.forEach(({item, data}) => primary.items.set(item, data));
    await sleep(2 * networkMs);
    for (const replica of databases) {
      if (replica !== primary && replica.isReceiving) {
        replica.log.push(entry);
        writes.forEach(({item, data}) => replica.items.set(item, data));
      }
    }
  }

  function promote(next) {
    if (next.role === 'primary') {
      return;
    }
    term += 1;
    for (const database of databases) {
      database.role = database === next ? 'primary' : 'replica';
      database.term = term;
      database.held = 0;
      database.isReceiving = database !== next;
      database.log = [...next.log];
    }
  }

  function statusOf(database) {
    const {role, isReceiving, held} = database;
    const fields = [role, database.term, positionOf(database), held, 0, 0, 0];
    return {rows: [fields.join(' ')], receipt: '-', isReceiving};
  }

  const ORDERS = {
    RESET: (database, session) => {
      session.values.clear();
      session.prepared.clear();
      return {receipt: '-'};
    },
    STATUS: statusOf,
    PAUSE: (database, session, rest) => {
      if (database.role === 'replica' && Number(rest) > database.held) {
        database.held = Number(rest);
        database.isReceiving = false;
      }
      return statusOf(database);
    },
    RESUME: database => {
      database.isReceiving = database.role === 'replica';
      database.held = database.term;
      return statusOf(database);
    },
    DEMOTE: (database, session, rest) => {
      if (database.role === 'primary' && Number(rest) > database.term) {
        database.role = 'replica';
        database.held = Number(rest);
      }
      return statusOf(database);
    },
    SET: (database, session, rest) => {
      session.values.set(...splitWord(rest));
      return {receipt: '-'};
    },
    PREPARE: (database, session, rest) => {
      const [prepared, shape] = splitWord(rest);
      session.prepared.set(prepared, shape);
      return {receipt: '-'};
    },
  };

  async function runWrite(database, session, id, item, data) {
    if (database.role !== 'primary') {
      return {error: `READONLY ${database.id}`};
    }
    if (!(await occupy(database, options.workMs(true)))) {
      return {error: 'BUSY full'};
    }
    onEvent({kind: 'write', database: database.id, id, item, data});
    if (session.state === 'T') {
      session.writes.push({item, data});
    } else {
      await commit(database, [{item, data}]);
    }
    return {receipt: `receipt.${id}`};
  }

  async function runRead(database, id, item) {
    if (!(await occupy(database, options.workMs(false)))) {
      return {error: 'BUSY full'};
    }
    onEvent({kind: 'read', database: database.id, id, item});
    const row = database.items.get(item) ?? 'none';
    return {rows: [row], receipt: `receipt.${id}`};
  }

  async function runStatement(database, session, id, text) {
    const [word, rest] = splitWord(text);
    if (word === 'AFTER') {
      const [position, statement] = splitWord(rest);
      return includes(database, position)
        ? runStatement(database, session, id, statement)
        : {error: `LAGGING ${database.id}`};
    }
    if (word in ORDERS) {
      return ORDERS[word](database, session, rest);
    }
    switch (word) {
      case 'BEGIN':
        if (rest !== 'READ' && database.role !== 'primary') {
          return {error: `READONLY ${database.id}`};
        }
        session.state = 'T';
        session.writes = [];
        return {receipt: '-'};
      case 'ROLLBACK':
        session.state = 'I';
        return {receipt: '-'};
      case 'COMMIT': {
        if (!(await occupy(database, options.workMs(false)))) {
          return {error: 'BUSY full'};
        }
        session.state = 'I';
        if (session.writes.length > 0) {
          await commit(database, session.writes);
          onEvent({kind: 'commit', database: database.id, id});
        }
        return {receipt: `receipt.${id}`};
      }
      case 'READ':
        return runRead(database, id, rest);
      case 'WRITE':
        return runWrite(database, session, id, ...splitWord(rest));
      default:
        return {error: `MALFORMED ${word}`};
    }
  }

  function serve(database, socket) {
    const session = {
      state: 'I',
      writes: [],
      values: new Map(),
      prepared: new Map(),
    };
    const lines = [];
    let isServing = false;
    let isStarted = false;

    const send = text =>
      setTimeout(() => socket.writable && socket.write(text), networkMs);
    const ready = () => `READY ${session.state} ${positionOf(database)}\r\n`;

    async function handle(line) {
      const [kind, fields] = splitWord(line);
      if (kind === 'STARTUP') {
        const [service, rest] = splitWord(fields);
        const [, expected] = splitWord(rest);
        const isOther = expected !== '' && expected !== database.id;
        if (service !== name || isOther) {
          socket.end(`ERROR MISROUTED ${database.id}\r\n`);
          return;
        }
        if (database.sockets.size > options.maxConns) {
          socket.end(`ERROR TOOMANY ${database.id}\r\n`);
          return;
        }
        await occupy(database, options.connectMs);
        isStarted = true;
        send(ready());
        return;
      }
      if (kind !== 'QUERY' || !isStarted) {
        socket.end();
        return;
      }
      const [id, text] = splitWord(fields);
      if (id !== '-') {
        onEvent({kind: 'received', database: database.id, id, text});
      }
      const answer = await runStatement(database, session, id, text);
      const {rows = [], receipt, error} = answer;
      if (error !== undefined) {
        session.state = session.state === 'T' ? 'E' : 'I';
        send(`ERROR ${error}\r\n${ready()}`);
        return;
      }
      const body = rows.map(row => `ROW ${row}\r\n`).join('');
      send(`${body}COMPLETE ${receipt}\r\n${ready()}`);
    }

    async function serveLines() {
      if (isServing) {
        return;
      }
      isServing = true;
      while (lines.length > 0 && !socket.destroyed) {
        await handle(lines.shift());
      }
      isServing = false;
    }

    const split = createLineSplitter(line => lines.push(line));
    database.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => database.sockets.delete(socket));
    socket.on('data', chunk => {
      split(chunk);
      setTimeout(serveLines, networkMs);
    });
  }

  for (let index = 0; index < count; index++) {
    const database = {
      id: `i-${index}a7f3c91`,
      zone: options.zones[index % options.zones.length],
      role: index === 0 ? 'primary' : 'replica',
      term,
      held: 0,
      state: 'ready',
      isReceiving: index > 0,
      log: [],
      items: new Map(),
      busy: 0,
      waiting: [],
      sockets: new Set(),
    };
    database.server = createServer(socket => serve(database, socket));
    database.address = await listen(database.server);
    databases.push(database);
  }

  return {
    databases,
    /** Puts a new database with the same log at the address of this one. */
    replace(database) {
      replacements += 1;
      database.id = `i-${replacements}b2e81d4`;
      database.state = 'ready';
      database.sockets.forEach(socket => socket.destroy());
    },
    /** Promotes a database some time later; false if it doesn't run. */
    startPromotion(id) {
      const next = databases.find(database => database.id === id);
      if (next === undefined) {
        return false;
      }
      if (next.role !== 'primary') {
        setTimeout(() => promote(next), promoteMs);
      }
      return true;
    },
    close() {
      for (const {server, sockets} of databases) {
        sockets.forEach(socket => socket.destroy());
        server.close();
      }
    },
  };
}

/**
 * The platform's promotion call. `onCall` gets each call as it arrives; its
 * answer comes `delayMs` after it was carried out.
 */
export async function startPromotions(service, {delayMs = 0, onCall}) {
  const server = createHttpServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const {id} = JSON.parse(Buffer.concat(chunks).toString());
    const {'duty-holder': holder, 'fencing-token': token} = request.headers;
    onCall({at: now(), holder, token: Number(token), id});
    const isDone = service.startPromotion(id);
    await sleep(delayMs);
    response.writeHead(isDone ? 200 : 409);
    response.end('{}');
  });
  return {
    address: await listen(server),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * A path of some length to a server: bytes take `oneWayMs`, and the first ones
 * of a connection two ways more, as the connection is set up before. The time
 * varies a little between connections, as on any network.
 */
export async function startPath(address, oneWayMs) {
  const [host, port] = address.split(':');
  const server = createServer(socket => {
    const target = connect({host, port: Number(port), noDelay: true});
    const openAt = now() + 2 * oneWayMs + PATH_VARIATION_MS * Math.random();
    const pipe = (from, to, earliest) => {
      from.on('data', chunk => {
        const at = Math.max(now(), earliest) + oneWayMs;
        setTimeout(() => to.writable && to.write(chunk), at - now());
      });
      from.on('error', () => {});
      from.on('close', () => setTimeout(() => to.destroy(), oneWayMs));
    };
    socket.setNoDelay(true);
    pipe(socket, target, openAt);
    pipe(target, socket, 0);
  });
  const sockets = new Set();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  return {
    address: await listen(server),
    close() {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}
