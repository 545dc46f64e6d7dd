import {
  PROCESS_GROUP,
  ProcessCluster,
  WriteLoad,
  appendStatement,
  connectToTarget,
  createProcessTable,
  createSessionCaller,
  eventually,
  probeTarget,
  requestTarget,
  startProcessCluster,
  startWriteLoad,
} from '..';
import {CALLER_METHODS, targetExecute, targetStatus} from '@kelpstep/protocol';
import {expect} from 'earl';
import {after, before, describe, test} from 'node:test';

import {expectListedOnce} from './process_checks';

const WRITER_COUNT = 4;
const PAUSE_MS = 5;
const ENTRY_COUNT = 20;
const FROZEN_REQUEST_TIMEOUT_MS = 60_000;
const CONNECTION_LIMIT = 20;
const CONNECTION_ATTEMPTS = 30;

describe('a group of database processes', () => {
  const processes = createProcessTable();
  let cluster: ProcessCluster;

  before(async () => {
    cluster = await startProcessCluster(processes, {
      proxies: ['lima-1', 'lima-2'],
      slots: 3,
      connectionLimit: CONNECTION_LIMIT,
      databaseOptions: ['--lag', '5'],
    });
  });

  after(() => processes.end());

  function startLoad(list: string): WriteLoad {
    return startWriteLoad({
      group: PROCESS_GROUP,
      list,
      writers: WRITER_COUNT,
      pause: PAUSE_MS,
      proxies: cluster.callerAddresses,
    });
  }

  function expectListed(list: string, load: WriteLoad): Promise<void> {
    const proxies = cluster.callerAddresses();
    return expectListedOnce(PROCESS_GROUP, proxies, list, load.confirmed);
  }

  test('runs each write once after its primary is killed', async () => {
    const load = startLoad('killed');
    await load.untilConfirmed(ENTRY_COUNT);
    const lost = await cluster.untilPrimary('lima-1');
    const {child, exited} = cluster.database(lost.id);
    child.kill('SIGKILL');
    await exited;
    await load.untilConfirmed(ENTRY_COUNT);
    const next = await cluster.untilPrimary('lima-2', lost);
    expect(next.term > lost.term).toEqual(true);

    await cluster.restartDatabase(lost.id);
    await cluster.untilConverged();
    await load.untilConfirmed(ENTRY_COUNT);
    await load.stop();
    await expectListed('killed', load);
  });

  test('confirms nothing of a primary that thaws after its replacement', async () => {
    const load = startLoad('frozen');
    await load.untilConfirmed(ENTRY_COUNT);
    const lost = await cluster.untilPrimary('lima-1');
    const {child, address} = cluster.database(lost.id);
    const connection = await connectToTarget(address);
    if (connection === undefined) {
      throw new Error('The primary accepts no connection.');
    }
    (await requestTarget(connection, targetStatus, {})).unwrap();

    child.kill('SIGSTOP');
    // The request stays in the frozen primary's buffers until it thaws.
    const late = requestTarget(
      connection,
      targetExecute,
      {
        statement: appendStatement('late', 'of the deposed primary'),
        mode: 'write',
        term: lost.term,
      },
      FROZEN_REQUEST_TIMEOUT_MS,
    );
    await load.untilConfirmed(ENTRY_COUNT);
    const next = await cluster.untilPrimary('lima-2', lost);
    child.kill('SIGCONT');
    await late;
    connection.close('answered');

    await cluster.untilConverged();
    await load.untilConfirmed(ENTRY_COUNT);
    await load.stop();
    expect(next.id === lost.id).toEqual(false);
    await expectListed('frozen', load);
    for (const id of cluster.members) {
      const peer = await connectToTarget(cluster.database(id).address);
      if (peer === undefined) {
        throw new Error(`${id} accepts no connection.`);
      }
      const reply = await requestTarget(peer, targetExecute, {
        statement: {text: 'list ?', parameters: ['late']},
        mode: 'read',
      });
      peer.close('list read');
      expect(reply.unwrap().rows).toEqual([]);
    }
  });

  test('keeps its primary and serves while its connections are exhausted', async () => {
    await cluster.untilConverged();
    const before = await cluster.untilPrimary('lima-1');
    const {address} = cluster.database(before.id);
    const refused: string[] = [];
    const peers = [];
    for (let count = 0; count < CONNECTION_ATTEMPTS; count++) {
      const peer = await connectToTarget(address);
      if (peer !== undefined) {
        peers.push(peer);
        const reply = await requestTarget(peer, targetStatus, {});
        if (reply.err) {
          refused.push(reply.val.failure.name);
        }
      }
    }
    const caller = createSessionCaller({
      group: PROCESS_GROUP,
      proxies: cluster.callerAddresses,
    });
    const entries = Array.from(
      {length: ENTRY_COUNT},
      (unused, index) => `${index}`,
    );
    await Promise.all(entries.map(entry => caller.append('crowded', entry)));
    const listed = await caller.list('crowded');
    const during = await cluster.untilPrimary('lima-1');
    peers.forEach(peer => peer.close('test completed'));

    expect(refused.includes('CONNECTIONS_EXHAUSTED')).toEqual(true);
    expect(listed.sort()).toEqual(entries.sort());
    expect(during).toEqual(before);
    await eventually('a free connection', () => probeTarget(address));
  });

  test('confirms no write without both replicas, and serves again with them', async () => {
    const primary = await cluster.untilConverged();
    const caller = createSessionCaller({
      group: PROCESS_GROUP,
      proxies: cluster.callerAddresses,
      attemptTime: 1000,
    });
    await caller.append('alone', 'before');
    const replicas = cluster.members.filter(id => id !== primary.id);
    replicas.forEach(id => cluster.database(id).child.kill('SIGSTOP'));
    const statement = appendStatement('alone', 'without a majority');
    const [address = ''] = cluster.callerAddresses();
    const reply = await caller.sendOnce(address, CALLER_METHODS.write, {
      statement,
    });
    replicas.forEach(id => cluster.database(id).child.kill('SIGCONT'));
    expect(reply.ok).toEqual(false);

    await cluster.untilConverged();
    await caller.append('alone', 'after');
    const listed = await caller.list('alone');
    expect(listed.includes('before') && listed.includes('after')).toEqual(true);
    const mayBePresent = reply.err && reply.val.outcome === 'unknown';
    const isPresent = listed.includes('without a majority');
    expect(isPresent && !mayBePresent).toEqual(false);
  });
});
