/**
 * Lets clients write data that holds a bare line feed, and looks for statements
 * at the databases that no client sent, or with changed text.
 */
import {writeFileSync} from 'node:fs';

import {EXIT, openSession, sleep, startDeployment} from '../deployment.mjs';
import {KALLIO_LAB, ROUTES} from '../site.mjs';
import {now} from '../stand_ins.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const PROXY_COUNT = 3;
const CLIENT_COUNT = 12;
const STEADY_MS = 2000;
const ANSWER_TIMEOUT_MS = 3000;

const record = [];
const note = (kind, fields) => record.push({at: now(), kind, ...fields});
/** Text of each query by its id, as its client sent it: up to CR LF. */
const sent = new Map();
const received = [];

/** Sends one query, and waits for its answer or the end of the connection. */
async function query(session, id, text) {
  sent.set(id, text);
  note('sent', {id, text});
  const answer = await Promise.race([
    session.query(id, text),
    sleep(ANSWER_TIMEOUT_MS).then(() => ({lines: ['(no answer)']})),
  ]);
  note('answered', {id, lines: answer.lines, isCut: answer.isCut === true});
  return answer;
}

async function runClient(index, proxy) {
  const session = await openSession(proxy.front, ROUTES.sampleReg);
  const line = `sample ${index} taken`;
  // The data names a statement, as a note that quotes a log may do.
  const smuggled = `QUERY s${index} WRITE k${index}-other forged`;
  const data = HAS_TROUBLE ? `${line}\n${smuggled}` : line;
  await query(session, `p${index}`, `WRITE k${index}-plain ${line}`);
  await query(session, `q${index}`, `WRITE k${index} ${data}`);
  await sleep(500);
  session.close();
}

function findUnasked() {
  return received.filter(({id, text}) => sent.get(id) !== text);
}

async function main() {
  const deployment = await startDeployment(KALLIO_LAB, PROXY_COUNT, event => {
    if (event.kind === 'received') {
      received.push(event);
    }
    note(`database ${event.kind}`, event);
  });
  try {
    if (!deployment.isStarted) {
      return EXIT.notRun;
    }
    await sleep(STEADY_MS);
    const clients = [];
    for (let index = 0; index < CLIENT_COUNT; index++) {
      const proxy = deployment.proxies[index % PROXY_COUNT];
      clients.push(runClient(index, proxy));
    }
    await Promise.all(clients);
    await sleep(STEADY_MS);
    const unasked = findUnasked();
    for (const {id, text} of unasked) {
      note('UNASKED', {id, run: text, sent: sent.get(id) ?? 'nothing'});
    }
    const forged = unasked.filter(({id}) => !sent.has(id));
    const counts = {
      sent: sent.size,
      received: received.length,
      changed: unasked.length - forged.length,
      sentByNobody: forged.length,
    };
    note('end', counts);
    console.log(JSON.stringify(counts));
    if (received.length === 0) {
      return EXIT.notRun;
    }
    return unasked.length > 0 ? EXIT.broken : EXIT.held;
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
