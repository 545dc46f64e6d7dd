/**
 * Stops one proxy after another with SIGTERM while clients run transactions of
 * twelve statements with pauses, and looks for requests that are never answered.
 */
import {writeFileSync} from 'node:fs';

import {EXIT, openSession, sleep, startDeployment} from '../deployment.mjs';
import {KALLIO_LAB, ROUTES} from '../site.mjs';
import {now} from '../stand_ins.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const PROXY_COUNT = 3;
const CLIENTS_PER_PROXY = 15;
/** One client in so many runs transactions that write. */
const WRITER_INTERVAL = 3;
/** Statements of a transaction, with its begin and its end. */
const STATEMENT_COUNT = 12;
const PAUSE_MS = 450;
const GRACE_MS = 6000;
/** The part of the grace that the pages give to an open transaction. */
const TRANSACTION_GRACE_MS = GRACE_MS / 2;
const LAST_SIXTH_MS = (GRACE_MS * 5) / 6;
/** The two kinds of request, with the time limits of operation and statement. */
const READER = {
  database: ROUTES.reportRead,
  begin: 'BEGIN READ',
  textOf: index => `READ k${index}`,
  limitMs: 8000,
  timeoutMs: 1200,
};
const WRITER = {
  database: ROUTES.sampleReg,
  begin: 'BEGIN',
  textOf: index => `WRITE k${index} v${index}`,
  limitMs: 6000,
  timeoutMs: 800,
};
const STEADY_MS = 2000;
/** Time between a client's first statement and the signal. */
const LEAD_MS = 600;

const record = [];
const received = new Map();
const note = (kind, fields) => record.push({at: now(), kind, ...fields});

let requests = 0;

/** Runs one transaction; returns when it has ended or the connection has. */
async function runTransaction(session, proxy, kind) {
  const startedAt = now();
  for (let index = 0; index < STATEMENT_COUNT; index++) {
    const isEnd = index === STATEMENT_COUNT - 1;
    const inside = isEnd ? 'COMMIT' : kind.textOf(index);
    const text = index === 0 ? kind.begin : inside;
    const id = `${proxy.node}.${++requests}`;
    const request = {
      id,
      text,
      kind,
      proxy: proxy.node,
      sentAt: now(),
      startedAt,
    };
    proxy.requests.push(request);
    note('sent', {id, text, proxy: proxy.node});
    const answer = await session.query(id, text);
    request.answer = answer;
    const lines = answer.lines.join(' | ');
    note(answer.isCut ? 'cut' : 'answered', {id, lines});
    if (answer.isCut || lines.startsWith('ERROR')) {
      return;
    }
    if (!isEnd) {
      await sleep(PAUSE_MS);
    }
  }
}

/** A client goes to the next ready proxy after its session was closed. */
async function runClient(proxy, until, kind) {
  await sleep(Math.random() * LEAD_MS);
  while (now() < until && !proxy.isStopped) {
    const session = await openSession(proxy.front, kind.database);
    if (!session.isOpen) {
      return;
    }
    await runTransaction(session, proxy, kind);
    session.close();
    await sleep(PAUSE_MS);
  }
}

/** The requests that the rule counts as lost. */
function findLost({requests: sent, stoppedAt}) {
  return sent.filter(({id, kind, sentAt, startedAt, answer}) => {
    if (!answer?.isCut || stoppedAt === undefined) {
      return false;
    }
    const cutAt = answer.at;
    const isBeside = sentAt >= stoppedAt - 1000 && cutAt <= stoppedAt + 7000;
    const isPassedOn = received.has(id);
    const isOverLimit =
      cutAt - startedAt >= kind.limitMs || cutAt - sentAt >= kind.timeoutMs;
    const isExcused =
      sentAt <= stoppedAt + TRANSACTION_GRACE_MS &&
      cutAt >= stoppedAt + LAST_SIXTH_MS;
    return isBeside && isPassedOn && !isOverLimit && !isExcused;
  });
}

async function playProxy(proxy) {
  const until = now() + STEADY_MS + LEAD_MS;
  const clients = [];
  for (let index = 0; index < CLIENTS_PER_PROXY; index++) {
    const kind = index % WRITER_INTERVAL === 0 ? WRITER : READER;
    clients.push(runClient(proxy, until, kind));
  }
  await sleep(LEAD_MS);
  if (HAS_TROUBLE) {
    proxy.stoppedAt = now();
    proxy.child.kill('SIGTERM');
    note('SIGTERM', {proxy: proxy.node});
    proxy.child.once('exit', () => {
      proxy.isStopped = true;
      note('exit', {proxy: proxy.node});
    });
  }
  await Promise.all(clients);
}

async function main() {
  const deployment = await startDeployment(KALLIO_LAB, PROXY_COUNT, event => {
    if (event.kind === 'received') {
      received.set(event.id, now());
    }
    note(`database ${event.kind}`, event);
  });
  try {
    if (!deployment.isStarted) {
      return EXIT.notRun;
    }
    await sleep(STEADY_MS);
    for (const [index, proxy] of deployment.proxies.entries()) {
      proxy.requests = [];
      await playProxy(proxy);
      if (HAS_TROUBLE) {
        deployment.startProxy(index);
        await deployment.awaitReady(proxy);
        await sleep(STEADY_MS);
      }
    }
    const lost = deployment.proxies.flatMap(findLost);
    for (const {id, text, proxy, sentAt, answer} of lost) {
      const {stoppedAt} = deployment.proxies.find(({node}) => node === proxy);
      note('LOST', {
        id,
        text,
        proxy,
        sentAfterSignal: sentAt - stoppedAt,
        cutAfterSignal: answer.at - stoppedAt,
      });
    }
    const answered = deployment.proxies.flatMap(proxy =>
      proxy.requests.filter(({answer}) => answer && !answer.isCut),
    );
    note('end', {requests, answered: answered.length, lost: lost.length});
    console.log(JSON.stringify(record[record.length - 1]));
    if (answered.length === 0) {
      return EXIT.notRun;
    }
    return lost.length > 0 ? EXIT.broken : EXIT.held;
  } finally {
    await deployment.stop();
    const lines = record.map(entry => JSON.stringify(entry));
    writeFileSync(
      new URL('record.txt', import.meta.url),
      `${lines.join('\n')}\n`,
    );
  }
}

main().then(
  code => process.exit(code),
  error => {
    console.error(error);
    process.exit(EXIT.notRun);
  },
);
