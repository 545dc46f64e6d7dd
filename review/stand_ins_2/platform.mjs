// The platform's table store and its call that promotes a database, over HTTP on 127.0.0.1.
import {createServer} from 'node:http';

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

export function createPlatform({services, isFenced, record, onWritten = () => {}}) {
  const rows = new Map();
  const history = [];
  const waiting = new Set();
  let version = 0;

  const keyOf = ({table, part = '', key}) => `${table}\n${part}\n${key}`;

  function change(puts, removed) {
    version += 1;
    for (const row of puts) {
      rows.set(keyOf(row), {...row, ver: version});
      history.push({table: row.table, key: row.key, part: '', value: row.value, ver: version});
    }
    for (const row of removed) {
      rows.delete(keyOf(row));
      history.push({table: row.table, key: row.key, part: '', ver: version, deleted: true});
    }
    waiting.forEach(wake => wake());
    return version;
  }

  function put(table, key, bytes) {
    const value = Buffer.isBuffer(bytes) ? bytes : Buffer.from(JSON.stringify(bytes));
    return change([{table, part: '', key, value: value.toString('base64')}], []);
  }

  function feed(table, after) {
    const newest = new Map();
    history
      .filter(row => row.table === table && row.ver > after)
      .forEach(row => newest.set(row.key, row));
    return [...newest.values()].sort((left, right) => left.ver - right.ver);
  }

  async function answer(request) {
    const url = new URL(request.url, 'http://store');
    const table = url.searchParams.get('table');
    if (url.pathname === '/rows-get') {
      const found = [...rows.values()].filter(row => row.table === table);
      found.sort((left, right) => (left.key < right.key ? -1 : 1));
      return [200, {rows: found, 'has-more': false, ver: version}];
    }
    if (url.pathname === '/rows-feed') {
      const after = Number(url.searchParams.get('after'));
      const until = Date.now() + Number(url.searchParams.get('wait-ms'));
      while (feed(table, after).length === 0 && Date.now() < until) {
        await new Promise(done => {
          const timeout = setTimeout(wake, until - Date.now());
          function wake() {
            clearTimeout(timeout);
            waiting.delete(wake);
            done();
          }
          waiting.add(wake);
        });
      }
      return [200, {rows: feed(table, after), ver: version}];
    }
    if (url.pathname === '/rows-tx') {
      const {precondition = [], puts = [], remove = []} = JSON.parse(await readBody(request));
      const isMet = precondition.every(row => (rows.get(keyOf(row))?.ver ?? 0) === row.ver);
      await new Promise(done => setTimeout(done, 4));
      const stillMet = precondition.every(row => (rows.get(keyOf(row))?.ver ?? 0) === row.ver);
      if (!isMet || !stillMet) {
        return [412, {rows: precondition.flatMap(row => rows.get(keyOf(row)) ?? [])}];
      }
      const ver = change(puts, remove);
      puts.forEach(row => onWritten(row.table, row.key, JSON.parse(Buffer.from(row.value, 'base64').toString())));
      return [200, {ver}];
    }
    if (url.pathname === '/promote') {
      const {service, id} = JSON.parse(await readBody(request));
      const fence = Number(request.headers['fencing-token']);
      const status = services.find(({name}) => name === service)?.promote(id, fence, isFenced) ?? 409;
      record('promote', {service, id, fence, holder: request.headers['duty-holder'], status});
      return [status, {}];
    }
    return [404, {}];
  }

  const server = createServer((request, response) => {
    answer(request).then(
      ([status, body]) => {
        response.writeHead(status, {'content-type': 'application/json'});
        response.end(JSON.stringify({...body, 'now-ms': Math.round(performance.now())}));
      },
      () => response.writeHead(400).end(),
    );
  });

  return {
    put,
    remove: (table, key) => change([], [{table, part: '', key}]),
    async listen() {
      await new Promise(done => server.listen(0, '127.0.0.1', done));
      return `127.0.0.1:${server.address().port}`;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
