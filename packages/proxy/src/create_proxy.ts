/**
 * Creates the parts of a proxy and connects them. All sockets are opened by the
 * transport that the proxy is given.
 */
import {
  FailoverTimings,
  createGroupDirectory,
  promoterNumberOf,
} from '@kelpstep/failover';
import {
  AcceptedManifest,
  Settings,
  createManifestSynchronizer,
  stopPolicySchema,
} from '@kelpstep/manifest';
import {
  createIdempotentRequest,
  createMembership,
  createShortExchange,
  startInstancePolling,
} from '@kelpstep/membership';
import {
  createAuditTrail,
  createMetricsRegistry,
  createProxyMetrics,
} from '@kelpstep/observability';
import {createResilientPlatformClient} from '@kelpstep/platform';
import {
  GroupLeadership,
  ProxyIdentity,
  peerForward,
  peerManifest,
} from '@kelpstep/protocol';
import {createHandlerTable, createPeerLinks} from '@kelpstep/rpc';
import {createRequestService} from '@kelpstep/routing';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  mapFuture,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';

import {createResponseObserver} from './response_observer';
import {createLeadershipRecorder} from './leadership_recorder';
import {createOperatorHandlers} from './operator_handlers';
import {createPeerServer} from './peer_server';
import type {Proxy, ProxyContext} from './proxy_context';
import {createRequestRecorder, registerLoadGauges} from './request_metrics';
import {createResponsibilities} from './responsibilities';

const INCARNATION_DIGITS = 16;
/** Time within which a committed manifest has to be in force on all proxies. */
const MANIFEST_STALENESS_BOUND_MS: Milliseconds = 3000;
const MANIFEST_FETCH_TIMEOUT_MS: Milliseconds = 1000;
/** Minimum time for which new requests are refused before the servers close. */
const MINIMUM_REFUSAL_TIME_MS: Milliseconds = 500;
/** Maximum time that a stopping proxy waits to store the audit trail. */
const AUDIT_FLUSH_TIMEOUT_MS: Milliseconds = 2000;

function identityOf(settings: Settings, runtime: Runtime): ProxyIdentity {
  return {
    proxy: settings.proxy,
    incarnation: runtime.random.hexadecimal(INCARNATION_DIGITS),
    dataCentre: settings.dataCentre,
    address: settings.addresses.peers,
  };
}

/** Creates a proxy, which stays inactive until it is started. */
export function createProxy(settings: Settings, context: ProxyContext): Proxy {
  const {runtime, transport, logger, platform: inner} = context;
  const {timer} = runtime;
  const {limits, intervals} = settings;
  const self = identityOf(settings, runtime);
  const platform = createResilientPlatformClient({inner, runtime});
  let listening = false;
  let stopping = false;

  const registry = createMetricsRegistry();
  const metrics = createProxyMetrics(registry);
  const audit = createAuditTrail({
    platform,
    runtime,
    proxy: self.proxy,
    incarnation: self.incarnation,
  });

  const peerHandlers = createHandlerTable();
  const links = createPeerLinks({transport, timer});
  const requestFromPeer = createIdempotentRequest(runtime, links.request);
  const peerServer = createPeerServer({
    transport,
    timer,
    address: self.address,
    handlers: peerHandlers,
  });

  const membership = createMembership({
    runtime,
    self,
    seeds: settings.seeds,
    exchange: createShortExchange({
      runtime,
      request: requestFromPeer,
      timeout: intervals.peerExchangeTimeout,
    }),
    hooks: {
      ready: () => unreadyReason() === undefined,
      manifestVersion: () => manifests.version(),
      onManifestVersion: (version, from) =>
        manifests.notePeerVersion(version, from.address),
      onLeadership: applyLeadership,
    },
    baseTiming: {
      interval: intervals.peerExchange,
      exchangeTimeout: intervals.peerExchangeTimeout,
      suspicionTime: intervals.peerSuspicion,
    },
  });
  const responsibilities = createResponsibilities(membership);

  const manifests = createManifestSynchronizer({
    runtime,
    platform,
    polls: () => responsibilities.polls('manifest'),
    peers: peerAddresses,
    fetchManifest: (address, above) =>
      requestFromPeer(
        address,
        peerManifest,
        {above},
        MANIFEST_FETCH_TIMEOUT_MS,
      ),
    pollInterval: intervals.manifestPoll,
    onRejected: (version, message) =>
      logger.error('manifest_rejected', {version, message}),
  });

  const timings: Partial<FailoverTimings> = {
    heartbeat: intervals.targetHeartbeat,
    ...context.timings,
  };
  const groups = createGroupDirectory({
    runtime,
    transport,
    timings,
    promoterNumber: promoterNumberOf(self),
    dataCentre: self.dataCentre,
    watchRank: responsibilities.watchRank,
    isLeaving: ({id, address}) => membership.isTargetLeaving({id, address}),
    onLeadershipChange: createLeadershipRecorder({
      proxy: self.proxy,
      logger: logger.forPart('failover'),
      metrics,
      audit,
    }),
    onLeadershipLearned: (group, leadership) =>
      membership.announceLeadership({group, ...leadership}),
  });

  const requests = createRequestService({
    runtime,
    self,
    transport,
    manifest: () => manifests.current()?.manifest,
    isManifestCurrent,
    groupView: group => groups.find(group),
    onPrimaryUnavailable({group, primary, reachedMembers, timersLateBy}) {
      logger.warn('primary_unavailable', {
        group,
        target: primary,
        count: reachedMembers,
        milliseconds: Math.round(timersLateBy),
      });
    },
    liveProxyCount: () => membership.liveProxies().length,
    findProxy: membership.find,
    forward: (owner, method, request, timeout) =>
      links.request(owner.address, peerForward, {method, request}, timeout),
    ...(context.policies === undefined ? {} : {policies: context.policies}),
    limits: {
      maximumDeadline: limits.longestDeadline,
      transactionIdleTime: limits.transactionIdleTimeout,
    },
    onRequestEnd: createRequestRecorder(metrics, isKind),
    ...(context.onRequestError === undefined
      ? {}
      : {onFault: context.onRequestError}),
  });

  membership.serve(peerHandlers);
  manifests.serve(peerHandlers);
  requests.addPeerHandlers(peerHandlers);
  registerLoadGauges(registry, requests);
  registry.gauge('kelpstep_manifest_version', 'Version in force.', () => [
    {labels: {}, value: manifests.version()},
  ]);
  registry.gauge('kelpstep_audit_pending', 'Entries not yet stored.', () => [
    {labels: {}, value: audit.pending()},
  ]);
  manifests.onChange(applyManifest);
  membership.onChange(() => {
    groups.updateMonitoring();
    requests.reconfigure();
  });

  function isKind(name: string): boolean {
    const kinds = manifests.current()?.manifest.kinds ?? [];
    return kinds.some(kind => kind.name === name);
  }

  function isManifestCurrent(): boolean {
    const isCurrent = manifests.age() <= MANIFEST_STALENESS_BOUND_MS;
    if (!isCurrent) {
      manifests.refresh();
    }
    return isCurrent;
  }

  function peerAddresses(): string[] {
    const live = membership
      .liveProxies()
      .map(({address}) => address)
      .filter(address => address !== self.address);
    return [...new Set([...live, ...settings.seeds])];
  }

  function applyManifest({version, manifest}: AcceptedManifest): void {
    logger.info('manifest_in_force', {version});
    groups.updateManifest(manifest.groups, version);
    requests.reconfigure();
    membership.triggerExchanges();
  }

  /**
   * Applies a leadership if its term is newer. Returns whether it was, in which
   * case it is passed on to other proxies.
   */
  function applyLeadership(leadership: GroupLeadership): boolean {
    const view = groups.find(leadership.group);
    const known = view?.lastLeadership()?.term ?? -1;
    if (view === undefined || leadership.term <= known) {
      return false;
    }
    groups.learnLeadership(leadership);
    return true;
  }

  function unreadyReason(): string | undefined {
    if (stopping) {
      return 'stopping';
    }
    if (!listening) {
      return 'starting';
    }
    return manifests.version() === 0 ? 'no manifest' : undefined;
  }

  function start() {
    return mapFuture(peerServer.listen(), result => {
      if (result.ok) {
        listening = true;
        membership.start();
        manifests.start();
        startInstancePolling({
          runtime,
          platform,
          polls: () => responsibilities.polls('instances'),
          onList: membership.applyInstanceList,
          interval: intervals.instancesPoll,
        });
        logger.info('started', {address: self.address});
      }
      return result;
    });
  }

  function* stopGracefully(): Task<undefined> {
    stopping = true;
    membership.leave();
    const policy =
      manifests.current()?.manifest.stop ?? stopPolicySchema.parse({});
    logger.info('stopping', {milliseconds: policy.acceptTime});
    yield* sleep(policy.acceptTime);
    requests.stopAccepting();
    const refusal = runtime.spawn('refuse', sleep(MINIMUM_REFUSAL_TIME_MS));
    yield* waitFor(requests.drain(policy.drainTime));
    yield* waitFor(refusal.result);
    yield* waitWithTimeout(audit.flushed(), AUDIT_FLUSH_TIMEOUT_MS);
    logger.info('stopped', {count: audit.pending()});
    return undefined;
  }

  let stopped: Future<undefined> | undefined;
  return {
    settings,
    identity: self,
    callerHandlers: requests.callerHandlers,
    operatorHandlers: createOperatorHandlers({
      runtime,
      platform,
      self,
      manifests,
      groups,
      requests,
      audit,
      unreadyReason,
      liveProxies: membership.liveProxies,
    }),
    onCallerResponse: createResponseObserver(
      logger.forPart('callers'),
      metrics,
    ),
    start,
    unreadyReason,
    manifestVersion: manifests.version,
    renderMetrics: registry.render,
    stop() {
      stopped ??= runtime.spawn('stop', stopGracefully()).result;
      return stopped;
    },
    close() {
      requests.close();
      groups.close();
      links.close();
      peerServer.close();
    },
  };
}
