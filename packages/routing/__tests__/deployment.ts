/** Proxies and a group of databases, run in virtual time. */
import {createGroupDirectory, promoterNumberOf} from '@kelpstep/failover';
import {Manifest} from '@kelpstep/manifest';
import {
  CALLER_METHODS,
  Failure,
  Method,
  ProxyIdentity,
  Scalar,
  Statement,
  createFailure,
  peerForward,
} from '@kelpstep/protocol';
import {
  RequestFailure,
  RpcPeer,
  createHandlerTable,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  Future,
  Task,
  VIRTUAL_EPOCH_MS,
  createRandom,
  createRuntime,
  createVirtualTimer,
  waitFor,
} from '@kelpstep/runtime';
import {
  DatabaseSettings,
  createDatabase,
  createFakeNetwork,
} from '@kelpstep/stand-ins';
import {Err, Result} from 'ts-results';

import {
  ForwardRequest,
  RequestEnd,
  RequestServiceOptions,
  createRequestService,
} from '..';

export const GROUP = 'logbook';
const PEER_PORT = 8000;
const DATABASE_PORT = 7000;
const SETTLE_TIMEOUT_MS = 60_000;
const DATA_CENTRES = ['lima', 'arequipa', 'trujillo'];

export interface DeploymentOptions {
  readonly seed?: number;
  readonly proxies?: number;
  readonly settings?: Partial<DatabaseSettings>;
  readonly readStaleness?: number;
  readonly service?: Partial<RequestServiceOptions>;
}

/** Outcome of a request and the time of its answer. */
export type Outcome<R> =
  | {readonly result: R; readonly at: number}
  | {readonly failure: Failure; readonly at: number};

export function databaseHost(index: number): string {
  return `10.0.0.${index + 1}`;
}

export function proxyHost(index: number): string {
  return `10.0.1.${index + 1}`;
}

export function statement(text: string, ...parameters: Scalar[]): Statement {
  return {text, parameters};
}

/** A key that was issued `age` milliseconds before the start. */
export function keyOf(id: string, age = 0) {
  return {id, issuedAt: VIRTUAL_EPOCH_MS - age};
}

export function createDeployment(options: DeploymentOptions = {}) {
  const timer = createVirtualTimer();
  const random = createRandom(options.seed ?? 1);
  const network = createFakeNetwork({timer, random, latency: () => 0.5});
  const manifest: Manifest = {
    format: 1,
    service: 'test',
    dataCentres: DATA_CENTRES,
    groups: [
      {
        name: GROUP,
        readStaleness: options.readStaleness ?? 5_000,
        members: DATA_CENTRES.map((dataCentre, index) => ({
          id: `member-${index}`,
          dataCentre,
          address: `${databaseHost(index)}:${DATABASE_PORT}`,
          state: 'serving' as const,
          slots: options.settings?.slots ?? 3,
          connectionLimit: 55,
        })),
      },
    ],
    kinds: [{name: 'entry', worth: 10, deadline: 3_000}],
    stop: {drainTime: 2_000, acceptTime: 0},
    keyRetention: 86_400_000,
  };
  let currentManifest = manifest;
  let isMonitored = true;

  const databases = DATA_CENTRES.map((unusedName, index) => {
    const host = databaseHost(index);
    return createDatabase({
      runtime: createRuntime({
        timer: network.timerFor(host),
        random: random.split(),
      }),
      transport: network.transportFor(host),
      target: `member-${index}`,
      address: `${host}:${DATABASE_PORT}`,
      settings: {connectionLimit: 55, ...options.settings},
    });
  });

  const proxyCount = options.proxies ?? 2;
  const identities: ProxyIdentity[] = Array.from(
    {length: proxyCount},
    (unusedItem, index) => ({
      proxy: `proxy-${index}`,
      incarnation: `first-${index}`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] as string,
      address: `${proxyHost(index)}:${PEER_PORT}`,
    }),
  );
  const stoppedProxies = new Set<number>();
  const ends: RequestEnd[] = [];

  function createProxy(self: ProxyIdentity, index: number) {
    const host = proxyHost(index);
    const hostTimer = network.timerFor(host);
    const transport = network.transportFor(host);
    const runtime = createRuntime({timer: hostTimer, random: random.split()});
    const views = createGroupDirectory({
      runtime,
      transport,
      promoterNumber: promoterNumberOf(self),
      dataCentre: self.dataCentre,
      watchRank: () => (isMonitored ? index : undefined),
      isLeaving: () => false,
    });
    views.updateManifest(manifest.groups);

    function* forwardTask(
      owner: ProxyIdentity,
      request: Parameters<ForwardRequest>,
    ): Task<Result<unknown, RequestFailure>> {
      const [, method, parameters, timeout] = request;
      const dialled = yield* waitFor(transport.dial(owner.address, timeout));
      if (dialled.err) {
        const failure = createFailure('TIMED_OUT');
        return Err({kind: 'closed' as const, sent: false, failure});
      }
      const peer = createRpcPeer({connection: dialled.val, timer: hostTimer});
      return yield* waitFor(
        peer.request(peerForward, {method, request: parameters}, timeout),
      );
    }

    const service = createRequestService({
      runtime,
      self,
      transport,
      manifest: () => currentManifest,
      isManifestCurrent: () => true,
      groupView: group => views.find(group),
      liveProxyCount: () => proxyCount,
      findProxy: (proxy, incarnation) =>
        identities.find(
          (identity, other) =>
            identity.proxy === proxy &&
            identity.incarnation === incarnation &&
            !stoppedProxies.has(other),
        ),
      forward: (...request) =>
        runtime.spawn('forward', forwardTask(request[0], request)).result,
      onRequestEnd: end => ends.push(end),
      ...options.service,
    });
    const peerHandlers = createHandlerTable();
    service.addPeerHandlers(peerHandlers);
    transport.listen(self.address, connection => {
      createRpcPeer({connection, timer: hostTimer, handlers: peerHandlers});
    });
    return {service, views, runtime};
  }

  const proxies = identities.map(createProxy);

  function proxy(index: number) {
    return proxies[index] as (typeof proxies)[number];
  }

  function control(index: number) {
    return (databases[index] as (typeof databases)[number]).control;
  }

  /** Advances the time until the condition holds. */
  function settle(condition: () => boolean, limit = SETTLE_TIMEOUT_MS): void {
    if (!timer.runUntil(condition, limit)) {
      throw new Error('The condition did not hold before the time-out.');
    }
  }

  /** Records all messages that are sent from now on, as JSON. */
  function recordMessages(): string[] {
    const sent: string[] = [];
    network.loseMessages(({message}) => {
      sent.push(JSON.stringify(message));
      return false;
    });
    return sent;
  }

  /** Sends a caller's request; the returned list receives its outcome. */
  function send<P, R>(
    index: number,
    method: Method<P, R>,
    parameters: Omit<P, 'group'>,
  ): Outcome<R>[] {
    const outcomes: Outcome<R>[] = [];
    const reply = proxy(index).service.callerHandlers.dispatch(
      method.name,
      {group: GROUP, ...parameters},
      undefined as unknown as RpcPeer,
    ) as Future<Result<R, Failure>>;
    reply.onSettled(result => {
      const at = timer.now();
      outcomes.push(
        result.ok ? {result: result.val, at} : {failure: result.val, at},
      );
    });
    return outcomes;
  }

  /** Sends a request and waits for its outcome. */
  function call<P, R>(
    index: number,
    method: Method<P, R>,
    parameters: Omit<P, 'group'>,
  ): Outcome<R> {
    const outcomes = send(index, method, parameters);
    settle(() => outcomes.length > 0);
    return outcomes[0] as Outcome<R>;
  }

  /** Sends a request that must succeed; returns its result. */
  function ask<P, R>(
    index: number,
    method: Method<P, R>,
    parameters: Omit<P, 'group'>,
  ): R {
    const outcome = call(index, method, parameters);
    if ('failure' in outcome) {
      throw new Error(`${method.name}: ${outcome.failure.name}`);
    }
    return outcome.result;
  }

  /** Sends a request that must fail; returns the failure's name and outcome. */
  function refuse<P, R>(
    index: number,
    method: Method<P, R>,
    parameters: Omit<P, 'group'>,
  ): string {
    const outcome = call(index, method, parameters);
    return 'failure' in outcome
      ? `${outcome.failure.name} ${outcome.failure.outcome}`
      : 'ok';
  }

  function primaryIndex(): number {
    const primary = proxy(0).views.find(GROUP)?.leadership()?.primary;
    return Number(primary?.split('-')[1] ?? -1);
  }

  /** Waits until all proxies know one primary. */
  function start(): number {
    proxies.forEach(({views}) => views.find(GROUP)?.touch());
    settle(() =>
      proxies.every(({views}) => views.find(GROUP)?.leadership() !== undefined),
    );
    return primaryIndex();
  }

  /** Entries of a list in a database. */
  function entries(index: number, list: string): Scalar[] {
    return control(index)
      .inspect(statement('list ?', list))
      .map(row => row[0] as Scalar);
  }

  function killProxy(index: number): void {
    stoppedProxies.add(index);
    proxy(index).runtime.shutdown();
    network.killHost(proxyHost(index));
  }

  return {
    timer,
    network,
    manifest,
    ends,
    methods: CALLER_METHODS,
    setManifest(next: Manifest) {
      currentManifest = next;
      proxies.forEach(({service, views}) => {
        views.updateManifest(next.groups);
        service.reconfigure();
      });
    },
    /**
     * Starts or stops monitoring; a group that is not monitored has no
     * failover.
     */
    setMonitored(monitored: boolean) {
      isMonitored = monitored;
      proxies.forEach(({views}) => views.updateMonitoring());
    },
    proxy,
    control,
    settle,
    send,
    call,
    ask,
    refuse,
    primaryIndex,
    start,
    entries,
    killProxy,
    recordMessages,
  };
}
