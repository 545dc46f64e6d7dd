/**
 * Targets that only report their status, so that hundreds of groups fit in one
 * process. Each group has a primary and two replicas in a stable state.
 */
import type {Group} from '@kelpstep/manifest';
import {
  TargetStatus,
  targetPositions,
  targetStatus,
  targetSubscribePositions,
} from '@kelpstep/protocol';
import {
  RpcPeer,
  Transport,
  createHandlerTable,
  createRpcPeer,
} from '@kelpstep/rpc';
import {Milliseconds, TimerService, settledFuture} from '@kelpstep/runtime';
import {Ok} from 'ts-results';

export interface StubTargetOptions {
  readonly transport: Transport;
  readonly timer: TimerService;
  readonly host: string;
  readonly groups: number;
  /** Log records that each group appends per second, one at a time. */
  readonly writesPerSecond: number;
}

const MEMBERS_PER_GROUP = 3;
const FIRST_PORT = 1000;
const FIRST_TERM = 65_536 + 4711;
const SECOND_TERM = 2 * 65_536 + 815;
const INITIAL_END_POSITION = 1_000_000;

/** Starts the targets of all groups; returns the groups for the manifest. */
export function startStubTargets(options: StubTargetOptions): Group[] {
  return Array.from({length: options.groups}, (unusedItem, index) =>
    startGroup(options, index),
  );
}

function startGroup(options: StubTargetOptions, index: number): Group {
  const {host, timer, writesPerSecond} = options;
  const name = `logbook-${index + 1}`;
  const members = Array.from(
    {length: MEMBERS_PER_GROUP},
    (unusedItem, member) => ({
      id: `${name}-centre-${member + 1}`,
      dataCentre: `centre-${member + 1}`,
      address: `${host}:${FIRST_PORT + MEMBERS_PER_GROUP * index + member}`,
      state: 'serving' as const,
      slots: 5,
      connectionLimit: 55,
    }),
  );
  const log = {end: INITIAL_END_POSITION};
  const subscribers = new Set<() => void>();
  if (writesPerSecond > 0) {
    timer.every(1000 / writesPerSecond, () => {
      log.end++;
      subscribers.forEach(notify => notify());
    });
  }
  members.forEach((member, memberIndex) => {
    const status = () =>
      createStatus(member.id, memberIndex, log.end, members[0]?.address);
    startTarget(options, member.address, status, subscribers);
  });
  return {name, readStaleness: 1000, members};
}

function createStatus(
  target: string,
  memberIndex: number,
  position: number,
  primary: string | undefined,
): TargetStatus {
  return {
    target,
    incarnation: '0123456789abcdef',
    role: memberIndex === 0 ? 'primary' : 'replica',
    term: SECOND_TERM,
    end: {term: SECOND_TERM, position},
    history: [
      {term: FIRST_TERM, firstPosition: 1},
      {term: SECOND_TERM, firstPosition: 900_000},
    ],
    ...(memberIndex === 0 || primary === undefined
      ? {}
      : {following: primary, primarySilence: 37}),
    slots: 5,
    connectionLimit: 55,
  };
}

function startTarget(
  {transport, timer}: StubTargetOptions,
  address: string,
  status: () => TargetStatus,
  subscribers: Set<() => void>,
): void {
  const handlers = createHandlerTable();

  function subscribe(peer: RpcPeer, heartbeat: Milliseconds): void {
    const notify = () => peer.notify(targetPositions.name, status());
    const stopHeartbeat = timer.every(heartbeat, notify);
    subscribers.add(notify);
    peer.closed.onSettled(() => {
      stopHeartbeat();
      subscribers.delete(notify);
    });
    notify();
  }

  handlers.handle(targetStatus, () => settledFuture(Ok(status())));
  handlers.handle(targetSubscribePositions, (parameters, peer) => {
    subscribe(peer, parameters.heartbeatMilliseconds);
    return settledFuture(Ok({}));
  });
  transport.listen(address, connection => {
    createRpcPeer({connection, timer, handlers});
  });
}
