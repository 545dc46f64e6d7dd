import {CALLER_METHODS} from '@kelpstep/protocol';
import {standInConfigure} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {after, before, describe, test} from 'node:test';

import {
  PROCESS_GROUP,
  ProcessCluster,
  ProxyProcess,
  WriteLoad,
  appendStatement,
  probeTarget,
  connectToTarget,
  createProcessTable,
  createSessionCaller,
  eventually,
  newKey,
  requestTarget,
  startProcessCluster,
  startWriteLoad,
  untilExited,
} from '..';
import {expectListedOnce} from './process_checks';

const PROXIES = ['lima-1', 'lima-2', 'lima-3'];
const WRITER_COUNT = 4;
const PAUSE_MS = 5;
const ENTRY_COUNT = 20;
const ATTEMPT_TIMEOUT_MS = 1000;
/** Lag beyond the attempt timeout, so that no write is confirmed. */
const BLOCKING_LAG_MS = 4000;
const SHORT_LAG_MS = 1000;
const {begin, write, commit, outcome} = CALLER_METHODS;

describe('proxy processes in front of a group', () => {
  const processes = createProcessTable();
  let cluster: ProcessCluster;

  before(async () => {
    cluster = await startProcessCluster(processes, {
      proxies: PROXIES,
      slots: 3,
      connectionLimit: 55,
    });
  });

  after(() => processes.end());

  function proxy(name: string): ProxyProcess {
    const found = cluster.proxies.get(name);
    if (found === undefined) {
      throw new Error(`No proxy ${name}.`);
    }
    return found;
  }

  function startLoad(list: string): WriteLoad {
    return startWriteLoad({
      group: PROCESS_GROUP,
      list,
      writers: WRITER_COUNT,
      pause: PAUSE_MS,
      proxies: cluster.callerAddresses,
      attemptTime: ATTEMPT_TIMEOUT_MS,
    });
  }

  /** Creates a caller whose requests go to the named proxies in turn. */
  function createCallerFor(...names: string[]) {
    return createSessionCaller({
      group: PROCESS_GROUP,
      proxies: () => names.map(name => proxy(name).callers),
    });
  }

  async function setLag(lag: number): Promise<void> {
    for (const id of cluster.members) {
      const peer = await connectToTarget(cluster.database(id).address);
      if (peer === undefined) {
        throw new Error(`${id} accepts no connection.`);
      }
      (await requestTarget(peer, standInConfigure, {lag})).unwrap();
      peer.close('configured');
    }
  }

  async function primaryEnd(): Promise<number> {
    const {id} = await cluster.untilPrimary('lima-2');
    const status = await probeTarget(cluster.database(id).address);
    return status?.end.position ?? 0;
  }

  /** Sends a request and kills lima-1 once the primary holds its record. */
  async function killAfterRecord(send: () => Promise<unknown>): Promise<void> {
    const end = await primaryEnd();
    const pending = send();
    await eventually('the record at the primary', async () =>
      (await primaryEnd()) > end ? true : undefined,
    );
    await kill('lima-1');
    await pending;
  }

  async function kill(name: string): Promise<void> {
    const killed = proxy(name);
    killed.child.kill('SIGKILL');
    await untilExited(killed);
  }

  test('run a write once if its proxy is killed before the confirmation', async () => {
    const statement = appendStatement('resent', 'sludge');
    const request = {statement, key: newKey()};
    const caller = createCallerFor('lima-2');
    await setLag(BLOCKING_LAG_MS);
    await killAfterRecord(() =>
      caller.sendOnce(proxy('lima-1').callers, write, request),
    );
    await setLag(0);
    const answer = await caller.send(write, request);
    const listed = await caller.list('resent');
    await cluster.startProxy('lima-1');
    expect(answer.duplicate).toEqual(true);
    expect(listed).toEqual(['sludge']);
  });

  test('leave nothing of a transaction whose proxy is killed', async () => {
    await cluster.untilInForce('lima-1', 1);
    const caller = createCallerFor('lima-1');
    const {transaction} = await caller.send(begin, {});
    const statement = appendStatement('unfinished', 'first');
    await caller.send(write, {statement, transaction});
    await kill('lima-1');
    const reply = await caller.sendOnce(proxy('lima-2').callers, commit, {
      transaction,
    });
    const listed = await createCallerFor('lima-2').list('unfinished');
    await cluster.startProxy('lima-1');
    expect(reply.err && reply.val.outcome).toEqual('not_run');
    expect(listed).toEqual([]);
  });

  test('report the outcome of a commit whose proxy is killed before the confirmation', async () => {
    await cluster.untilInForce('lima-1', 1);
    const {callers} = proxy('lima-1');
    const caller = createCallerFor('lima-2');
    const begun = await caller.sendOnce(callers, begin, {});
    const {transaction} = begun.unwrap();
    for (const entry of ['first', 'second']) {
      const statement = appendStatement('committed', entry);
      (
        await caller.sendOnce(callers, write, {statement, transaction})
      ).unwrap();
    }
    const key = newKey();
    await setLag(BLOCKING_LAG_MS);
    await killAfterRecord(() =>
      caller.sendOnce(callers, commit, {transaction, key}),
    );
    await setLag(0);
    const settled = await caller.send(outcome, {key});
    const listed = await caller.list('committed');
    await cluster.startProxy('lima-1');
    expect(settled.outcome).toEqual('confirmed');
    expect(listed).toEqual(['first', 'second']);
  });

  for (const name of PROXIES) {
    test(`serve without ${name}, frozen during a promotion`, async () => {
      const list = `frozen-${name}`;
      const other = PROXIES.find(candidate => candidate !== name) ?? '';
      const load = startLoad(list);
      await load.untilConfirmed(ENTRY_COUNT);
      const killed = await cluster.untilPrimary(other);
      proxy(name).child.kill('SIGSTOP');
      cluster.database(killed.id).child.kill('SIGKILL');
      const next = await cluster.untilPrimary(other, killed);
      await load.untilConfirmed(ENTRY_COUNT);
      proxy(name).child.kill('SIGCONT');
      const learned = await cluster.untilPrimary(name, killed);
      await load.untilConfirmed(ENTRY_COUNT);
      await cluster.restartDatabase(killed.id);
      const final = await cluster.untilConverged();
      await load.stop();
      expect(learned.id).toEqual(next.id);
      expect(final).toEqual(next);
      const proxies = cluster.callerAddresses();
      await expectListedOnce(PROCESS_GROUP, proxies, list, load.confirmed);
    });
  }

  test('finish requests and transactions before they stop', async () => {
    const caller = createCallerFor('lima-2');
    const stopped = proxy('lima-1');
    const {callers, child} = stopped;
    const begun = await caller.sendOnce(callers, begin, {});
    const {transaction} = begun.unwrap();
    await setLag(SHORT_LAG_MS);
    const end = await primaryEnd();
    const statement = appendStatement('stopped', 'in flight');
    const inFlight = createCallerFor('lima-1').sendOnce(callers, write, {
      statement,
    });
    await eventually('the record at the primary', async () =>
      (await primaryEnd()) > end ? true : undefined,
    );
    child.kill('SIGTERM');
    const inside = appendStatement('stopped', 'in a transaction');
    await caller.send(write, {statement: inside, transaction});
    await caller.send(commit, {transaction, key: newKey()});
    const answered = await inFlight;
    const {code} = await untilExited(stopped);
    await setLag(0);
    const listed = await caller.list('stopped');
    await cluster.startProxy('lima-1');
    expect(answered.ok).toEqual(true);
    expect(code).toEqual(0);
    expect(listed.sort()).toEqual(['in a transaction', 'in flight']);
  });

  test('are replaced one after another and lose no request', async () => {
    await Promise.all(PROXIES.map(name => cluster.untilInForce(name, 1)));
    const load = startLoad('replaced');
    const codes: (number | null)[] = [];
    for (const name of PROXIES) {
      await load.untilConfirmed(ENTRY_COUNT);
      const replaced = proxy(name);
      replaced.child.kill('SIGTERM');
      codes.push((await untilExited(replaced)).code);
      await cluster.startProxy(name);
      await cluster.untilInForce(name, 1);
    }
    await load.untilConfirmed(ENTRY_COUNT);
    await load.stop();
    const definite = new Set(['STOPPING', 'NOT_READY']);
    const others = load
      .failures()
      .filter(({name}) => !definite.has(name))
      .map(({name, message}) => `${name}: ${message}`);
    expect(codes).toEqual(PROXIES.map(() => 0));
    expect(others).toEqual([]);
    const proxies = cluster.callerAddresses();
    await expectListedOnce(PROCESS_GROUP, proxies, 'replaced', load.confirmed);
  });

  test('fail over and keep their manifest while the platform is stopped', async () => {
    const load = startLoad('alone');
    await load.untilConfirmed(ENTRY_COUNT);
    const killed = await cluster.untilPrimary('lima-1');
    cluster.platform().child.kill('SIGKILL');
    await untilExited(cluster.platform());
    cluster.database(killed.id).child.kill('SIGKILL');
    const next = await cluster.untilPrimary('lima-1', killed);
    await load.untilConfirmed(ENTRY_COUNT);

    await kill('lima-3');
    await cluster.startProxy('lima-3');
    await cluster.untilInForce('lima-3', 1);
    const learnedFromPeer = await cluster.untilPrimary('lima-3', killed);
    await createCallerFor('lima-3').append('from a peer', 'entry');

    await cluster.restartPlatform();
    await load.untilConfirmed(ENTRY_COUNT);
    await load.stop();
    const statuses = await Promise.all(PROXIES.map(cluster.status));
    const versions = statuses.map(status => status?.manifest.version);
    expect(learnedFromPeer).toEqual(next);
    expect(versions).toEqual([1, 1, 1]);
    const proxies = cluster.callerAddresses();
    await expectListedOnce(PROCESS_GROUP, proxies, 'alone', load.confirmed);
  });
});
