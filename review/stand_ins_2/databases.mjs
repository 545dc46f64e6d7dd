// A replicated database service over the line protocol of the pages: one primary and
// its replicas, all in this process, each with a port of its own on 127.0.0.1.
import {createServer} from 'node:net';

const CRLF = '\r\n';
const APPLY_LAG_MS = 8;
const LINK_MS = 1;
const CATCH_UP_MS = 100;
const QUEUE_LENGTH = 24;
const CLOSED_SESSION = undefined;

function wait(delay, action) {
  return setTimeout(action, delay);
}

export function createService({name, ids, slots, maxConns, promoteMs, record}) {
  const databases = new Map();
  let primaryId = ids[0];
  let highestFence = 0;
  let receipts = 0;
  let following;

  function running(except) {
    return [...databases.values()].filter(db => db.isRunning && db.id !== except);
  }

  function positionOf(db, count) {
    const entry = db.log[count - 1];
    return entry === undefined ? '0.0' : `${entry.term}.${count}`;
  }

  /** Sends what a replica lacks of the primary's log. */
  function replicate(primary) {
    for (const replica of running(primary.id)) {
      wait(LINK_MS, () => receive(primary, replica));
    }
  }

  function receive(primary, replica) {
    const isLinked =
      primary.isRunning &&
      replica.isRunning &&
      primary.role === 'primary' &&
      replica.role === 'replica' &&
      replica.term === primary.term &&
      !replica.isPaused;
    if (!isLinked || replica.log.length >= primary.log.length) {
      return;
    }
    replica.log.push(...primary.log.slice(replica.log.length));
    const received = replica.log.length;
    wait(APPLY_LAG_MS, () => {
      replica.applied = Math.min(Math.max(replica.applied, received), replica.log.length);
    });
    wait(LINK_MS, () => acknowledge(primary, received));
  }

  function acknowledge(primary, received) {
    const done = primary.pending.filter(({number}) => number <= received);
    primary.pending = primary.pending.filter(({number}) => number > received);
    done.forEach(({finish}) => finish());
  }

  /** Promotes as the platform does; `409` if the fence is old or the database does not run. */
  function promote(id, fence, isFenced) {
    const next = databases.get(id);
    if (isFenced && fence < highestFence) {
      return 409;
    }
    if (next === undefined || !next.isRunning) {
      return 409;
    }
    highestFence = Math.max(highestFence, fence);
    if (id !== primaryId || next.role !== 'primary') {
      wait(promoteMs, () => lead(next));
    }
    return 200;
  }

  function lead(next) {
    if (!next.isRunning || next.role === 'primary') {
      return;
    }
    const term = Math.max(...[...databases.values()].map(db => db.term)) + 1;
    primaryId = next.id;
    record('promoted', {service: name, id: next.id, term, log: next.log.length});
    for (const db of running()) {
      db.term = term;
      db.isPaused = false;
      db.role = db === next ? 'primary' : 'replica';
      db.pending.splice(0).forEach(({lose}) => lose());
      keepCommonLog(db, next);
      db.applied = db === next ? db.log.length : db.applied;
    }
    replicate(next);
  }

  function createDatabase(id) {
    const db = {
      id,
      isRunning: false,
      state: 'ready',
      role: id === primaryId ? 'primary' : 'replica',
      term: 1,
      heldTerm: 0,
      isPaused: false,
      log: [],
      applied: 0,
      pending: [],
      busy: 0,
      queue: [],
      sockets: new Set(),
      life: 0,
      address: '',
      sequence: 1,
      born: Date.now(),
      port: 0,
    };

    function inSlot(work, run, refuse) {
      const {life} = db;
      if (db.busy < slots) {
        db.busy += 1;
        wait(work, () => {
          if (db.life !== life) {
            return;
          }
          db.busy -= 1;
          const next = db.queue.shift();
          if (next !== undefined) {
            inSlot(next.work, next.run, next.refuse);
          }
          run();
        });
      } else if (db.queue.length < QUEUE_LENGTH) {
        db.queue.push({work, run, refuse});
      } else {
        refuse();
      }
    }

    function serve(socket) {
      db.sockets.add(socket);
      socket.setNoDelay(true);
      let text = '';
      let session = CLOSED_SESSION;
      const requests = [];
      let isServing = false;

      function ready() {
        const state = session.failed ? 'E' : session.transaction ? 'T' : 'I';
        return `READY ${state} ${positionOf(db, db.applied)}${CRLF}`;
      }
      function reply(rows, receipt) {
        const lines = rows.map(row => `ROW ${row}${CRLF}`).join('');
        answer(`${lines}COMPLETE ${receipt}${CRLF}${ready()}`);
      }
      function fail(code, endsTransaction = true) {
        session.failed ||= session.transaction !== undefined && endsTransaction;
        answer(`ERROR ${code} ${id}${CRLF}${ready()}`);
      }
      function answer(lines) {
        if (!socket.destroyed) {
          socket.write(lines, 'latin1');
        }
        isServing = false;
        next();
      }
      function next() {
        if (!isServing && requests.length > 0 && db.isRunning) {
          isServing = true;
          handle(requests.shift());
        }
      }
      function receipt() {
        receipts += 1;
        return `${db.term}.${receipts.toString(16)}.${id}`;
      }
      function lostLead() {
        const {transaction} = session;
        return (
          transaction !== undefined &&
          !transaction.isReadOnly &&
          (db.role !== 'primary' || transaction.term !== db.term)
        );
      }
      function lacks(after) {
        if (after === undefined) {
          return false;
        }
        const [term, number] = after.split('.').map(Number);
        const last = db.log[db.applied - 1];
        const lastTerm = last?.term ?? 0;
        return lastTerm < term || (lastTerm === term && db.applied < number);
      }
      function commit(requestId, writes) {
        const number = db.log.length + writes.length;
        writes.forEach(write => db.log.push({term: db.term, ...write}));
        db.applied = db.log.length;
        db.pending.push({
          number,
          finish() {
            record('committed', {service: name, id, request: requestId, at: positionOf(db, number)});
            reply([], receipt());
          },
          lose: () => socket.destroy(),
        });
        replicate(db);
      }
      function runRead(requestId, item, after) {
        if (lostLead()) {
          fail('READONLY');
        } else if (lacks(after)) {
          fail('LAGGING');
        } else {
          inSlot(
            6,
            () => {
              const found = db.log.slice(0, db.applied).findLast(write => write.item === item);
              record('ran', {service: name, id, request: requestId, kind: 'read'});
              reply([found === undefined ? 'none' : found.data], receipt());
            },
            () => fail('BUSY', false),
          );
        }
      }
      function runWrite(requestId, item, data) {
        if (db.role !== 'primary' || lostLead()) {
          fail('READONLY');
          return;
        }
        inSlot(
          4,
          () => {
            if (db.role !== 'primary' || lostLead()) {
              fail('READONLY');
              return;
            }
            record('ran', {service: name, id, request: requestId, kind: 'write'});
            const write = {item, data, request: requestId};
            if (session.transaction === undefined) {
              commit(requestId, [write]);
            } else {
              session.transaction.writes.push(write);
              reply([], receipt());
            }
          },
          () => fail('BUSY', false),
        );
      }
      function handle(line) {
        const [, requestId, ...rest] = line.split(' ');
        let words = rest;
        let after;
        if (words[0] === 'AFTER') {
          [, after, ...words] = words;
        }
        const [word, first, ...more] = words;
        if (session.failed && word !== 'ROLLBACK') {
          fail('MALFORMED');
          return;
        }
        switch (word) {
          case 'RESET':
            session.values = new Map();
            session.prepared = new Map();
            reply([], '-');
            return;
          case 'STATUS':
            status();
            return;
          case 'PAUSE':
            if (Number(first) > db.term && db.role === 'replica') {
              db.isPaused = true;
              db.heldTerm = Math.max(db.heldTerm, Number(first));
            }
            status();
            return;
          case 'RESUME':
            db.isPaused = false;
            running().filter(({role}) => role === 'primary').forEach(replicate);
            status();
            return;
          case 'DEMOTE':
            if (Number(first) > db.term && db.role === 'primary') {
              db.role = 'replica';
              db.heldTerm = Math.max(db.heldTerm, Number(first));
              db.pending.splice(0).forEach(({lose}) => lose());
            }
            status();
            return;
          case 'SET':
            session.values.set(first, more.join(' '));
            reply([], '-');
            return;
          case 'PREPARE':
            session.prepared.set(first, more[0]);
            reply([], '-');
            return;
          case 'DEALLOCATE':
            session.prepared.delete(first);
            reply([], '-');
            return;
          case 'BEGIN':
            if (first === undefined && db.role !== 'primary') {
              fail('READONLY');
            } else if (lacks(after)) {
              fail('LAGGING');
            } else {
              session.transaction = {isReadOnly: first === 'READ', term: db.term, writes: []};
              reply([], '-');
            }
            return;
          case 'ROLLBACK':
            session.transaction = undefined;
            session.failed = false;
            reply([], '-');
            return;
          case 'COMMIT': {
            const {transaction} = session;
            if (transaction.writes.length > 0 && lostLead()) {
              fail('READONLY');
              return;
            }
            inSlot(
              4,
              () => {
                session.transaction = undefined;
                if (transaction.writes.length > 0) {
                  commit(requestId, transaction.writes);
                } else {
                  reply([], receipt());
                }
              },
              () => fail('BUSY', false),
            );
            return;
          }
          case 'READ':
            runRead(requestId, first, after);
            return;
          case 'WRITE':
            runWrite(requestId, first, more.join(' '));
            return;
          case 'EXECUTE': {
            const access = session.prepared.get(first);
            if (access === undefined) {
              fail('NOSTMT');
            } else if (access === 'READ') {
              runRead(requestId, more[0], after);
            } else {
              runWrite(requestId, more[0], more.slice(1).join(' '));
            }
            return;
          }
          default:
            fail('MALFORMED');
        }
      }
      function status() {
        const received = positionOf(db, db.log.length);
        const row = `${db.role} ${db.term} ${received} ${db.heldTerm} 0 ${db.busy} ${db.sockets.size}`;
        reply([row], '-');
      }
      function start(line) {
        const [, service, , expected] = line.split(' ');
        if (service !== name || (expected !== undefined && expected !== id)) {
          socket.end(`ERROR MISROUTED ${id}${CRLF}`);
        } else if (db.sockets.size > maxConns) {
          socket.end(`ERROR TOOMANY ${id}${CRLF}`);
        } else {
          session = {values: new Map(), prepared: new Map(), failed: false};
          socket.write(ready(), 'latin1');
        }
      }
      socket.on('data', chunk => {
        const lines = (text + chunk.toString('latin1')).split(CRLF);
        text = lines.pop();
        for (const line of lines) {
          if (session === undefined) {
            start(line);
          } else if (line.startsWith('TERMINATE')) {
            socket.end();
          } else {
            requests.push(line);
            next();
          }
        }
      });
      socket.on('error', () => {});
      socket.on('close', () => db.sockets.delete(socket));
    }

    db.server = createServer(serve);
    databases.set(id, db);
    return db;
  }

  async function start(id) {
    const db = createDatabase(id);
    await new Promise(done => db.server.listen(0, '127.0.0.1', done));
    db.port = db.server.address().port;
    db.address = `127.0.0.1:${db.port}`;
    db.isRunning = true;
    return db;
  }

  async function listen() {
    for (const id of ids) {
      await start(id);
    }
    following = setInterval(follow, CATCH_UP_MS);
  }

  /** Starts a new replica, which receives the log of the primary. */
  async function join(id) {
    const db = await start(id);
    db.term = 0;
    record('database started', {id, role: db.role, log: 0});
  }

  /** Reports that the database drains; it goes on serving until `leave`. */
  function drain(id) {
    record('database drains', {id});
    databases.get(id).state = 'draining';
  }

  /** Ends a database for good; its log is gone with it. */
  async function leave(id) {
    await crash(id);
    databases.delete(id);
    record('database left', {id});
  }

  /** Replicas that know an older term, or none, follow the primary unless they are paused. */
  function follow() {
    const primary = running().find(({role}) => role === 'primary');
    if (primary === undefined) {
      return;
    }
    for (const db of running(primary.id)) {
      if (db.term < primary.term && !db.isPaused) {
        db.term = primary.term;
        db.role = 'replica';
        keepCommonLog(db, primary);
      }
    }
    replicate(primary);
  }

  function keepCommonLog(db, primary) {
    const common = db.log.findIndex((entry, index) => entry !== primary.log[index]);
    db.log.length = common < 0 ? db.log.length : common;
    db.applied = Math.min(db.applied, db.log.length);
  }

  function crash(id) {
    const db = databases.get(id);
    record('database crashed', {id});
    db.isRunning = false;
    db.pending = [];
    db.queue = [];
    db.busy = 0;
    db.life += 1;
    db.sockets.forEach(socket => socket.destroy());
    db.sockets.clear();
    return new Promise(done => db.server.close(done));
  }

  /**
   * Starts a database again under its id. With its log it is primary unless another one
   * was promoted; without it, it holds and knows nothing of before.
   */
  async function restart(id, isEmpty) {
    const db = databases.get(id);
    db.isPaused = false;
    db.heldTerm = 0;
    db.born = Date.now();
    db.sequence = 0;
    if (isEmpty) {
      db.log = [];
      db.applied = 0;
      db.term = 0;
    }
    db.role = !isEmpty && id === primaryId ? 'primary' : 'replica';
    await new Promise(done => db.server.listen(db.port, '127.0.0.1', done));
    db.isRunning = true;
    record('database started', {id, role: db.role, log: db.log.length});
  }

  function entryOf(db) {
    db.sequence += 1;
    return {
      service: name,
      address: db.address,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state: db.state,
      'cold-left-ms': 0,
      'db-role': db.role,
      seq: db.sequence,
      born: db.born,
    };
  }

  return {
    name,
    databases,
    primary: () => primaryId,
    listen,
    promote,
    entryOf,
    join,
    drain,
    leave,
    crash,
    restart,
    close() {
      clearInterval(following);
      for (const db of databases.values()) {
        db.sockets.forEach(socket => socket.destroy());
        db.server.close();
      }
    },
  };
}
