/** Test fixture: a group of databases in virtual time. */
import {
  ErrorName,
  Execution,
  IdempotencyKey,
  Method,
  Scalar,
  Statement,
  targetExecute,
  targetFence,
  targetFollow,
  targetPromote,
} from '@kelpstep/protocol';
import {
  VIRTUAL_EPOCH_MS,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {RpcPeer, createRpcPeer} from '@kelpstep/rpc';

import {DatabaseSettings, createDatabase, createFakeNetwork} from '..';

export const PROXY = '10.0.1.1';
const REQUEST_TIMEOUT_MS = 60_000;
const WAIT_TIMEOUT_MS = 120_000;

/** Host of a member; members are numbered from 1. */
export function hostOfMember(member: number): string {
  return `10.0.0.${member}`;
}

/** Address of a member; members are numbered from 1. */
export function addressOfMember(member: number): string {
  return `${hostOfMember(member)}:7000`;
}

export function statement(text: string, ...parameters: Scalar[]): Statement {
  return {text, parameters};
}

/** Creates a key issued `age` milliseconds before virtual time began. */
export function createKey(id: string, age = 0): IdempotencyKey {
  return {id, issuedAt: VIRTUAL_EPOCH_MS - age};
}

/** Outcome of a request: its result, or the name of its failure. */
export type Outcome<R> = R | ErrorName;

/** A pending request; `outcome` is set when it has been answered. */
export interface Pending<R> {
  outcome: Outcome<R> | undefined;
}

export function createGroup(
  size: number,
  settings: Partial<DatabaseSettings> = {},
  seed = 1,
) {
  const timer = createVirtualTimer();
  const trace: string[] = [];
  const random = createRandom(seed);
  const network = createFakeNetwork({
    timer,
    random,
    latency: () => 1,
    jitter: 0.5,
    trace: line => trace.push(line),
  });
  const members = Array.from({length: size}, (unusedItem, index) => index + 1);
  const databases = members.map(member =>
    createDatabase({
      runtime: createRuntime({
        timer: network.timerFor(hostOfMember(member)),
        random: random.split(),
      }),
      transport: network.transportFor(hostOfMember(member)),
      target: `member-${member}`,
      address: addressOfMember(member),
      settings,
    }),
  );

  function control(member: number) {
    const database = databases[member - 1];
    if (database === undefined) {
      throw new Error(`Unknown member ${member}.`);
    }
    return database.control;
  }

  /** Advances virtual time until a condition holds. */
  function settle(condition: () => boolean): void {
    if (!timer.runUntil(condition, WAIT_TIMEOUT_MS)) {
      throw new Error('Timed out waiting for a condition.');
    }
  }

  function connect(member: number): RpcPeer {
    const peers: RpcPeer[] = [];
    network
      .transportFor(PROXY)
      .dial(addressOfMember(member), 1000)
      .onSettled(dialled => {
        const connection = dialled.unwrap();
        const hostTimer = network.timerFor(PROXY);
        peers.push(createRpcPeer({connection, timer: hostTimer}));
      });
    settle(() => peers.length > 0);
    return peers[0] as RpcPeer;
  }

  /** Sends a request and doesn't wait for its outcome. */
  function send<P, R>(
    peer: RpcPeer,
    method: Method<P, R>,
    parameters: P,
  ): Pending<R> {
    const pending: Pending<R> = {outcome: undefined};
    peer
      .request(method, parameters, REQUEST_TIMEOUT_MS)
      .onSettled(
        reply =>
          (pending.outcome = reply.ok ? reply.val : reply.val.failure.name),
      );
    return pending;
  }

  /** Sends a request and waits for its outcome. */
  function call<P, R>(
    peer: RpcPeer,
    method: Method<P, R>,
    parameters: P,
  ): Outcome<R> {
    const pending = send(peer, method, parameters);
    settle(() => pending.outcome !== undefined);
    return pending.outcome as Outcome<R>;
  }

  function write(
    peer: RpcPeer,
    term: number,
    writeStatement: Statement,
    key?: IdempotencyKey,
  ): Outcome<Execution> {
    return call(peer, targetExecute, {
      statement: writeStatement,
      mode: 'write',
      term,
      key,
    });
  }

  /** Promotes a member to primary of a term; the other members follow it. */
  function promote(
    primary: number,
    term: number,
    others: readonly number[] = members,
  ): void {
    const fenced = [...new Set([primary, ...others])];
    for (const member of fenced) {
      call(connect(member), targetFence, {term});
    }
    call(connect(primary), targetPromote, {term});
    for (const member of fenced.filter(other => other !== primary)) {
      const address = addressOfMember(primary);
      call(connect(member), targetFollow, {term, primary: address});
    }
  }

  /** Waits until a member's log has the same end as the primary's. */
  function catchUp(member: number, primary: number): void {
    settle(() => {
      const [left, right] = [control(member), control(primary)];
      const [end, primaryEnd] = [left.status().end, right.status().end];
      return (
        end.term === primaryEnd.term && end.position === primaryEnd.position
      );
    });
  }

  return {
    timer,
    network,
    trace,
    databases,
    control,
    settle,
    connect,
    send,
    call,
    write,
    promote,
    catchUp,
  };
}
