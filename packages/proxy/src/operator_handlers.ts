/** Handlers of the methods for operators. */
import type {GroupDirectory, GroupView} from '@kelpstep/failover';
import {
  AcceptedManifest,
  ManifestSynchronizer,
  commitManifest,
} from '@kelpstep/manifest';
import type {AuditTrail} from '@kelpstep/observability';
import type {PlatformClient} from '@kelpstep/platform';
import {Failure, ParametersOf, ProxyIdentity} from '@kelpstep/protocol';
import {HandlerTable, Reply, createHandlerTable} from '@kelpstep/rpc';
import {
  Future,
  Runtime,
  Task,
  TimerService,
  settledFuture,
} from '@kelpstep/runtime';
import type {RequestService} from '@kelpstep/routing';
import {Ok} from 'ts-results';

import {
  ProxyStatus,
  auditList,
  manifestCommit,
  manifestShow,
  proxyStatus,
} from './operator_methods';

/** The parts of a proxy that operators query or change. */
export interface OperatorHandlersOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformClient;
  readonly self: ProxyIdentity;
  readonly manifests: ManifestSynchronizer;
  readonly groups: GroupDirectory;
  readonly requests: RequestService;
  readonly audit: AuditTrail;
  readonly unreadyReason: () => string | undefined;
  readonly liveProxies: () => readonly ProxyIdentity[];
}

type CommitParameters = ParametersOf<typeof manifestCommit>;

function manifestReference(accepted: AcceptedManifest | undefined) {
  if (accepted === undefined) {
    return {version: 0};
  }
  const {version, commitId, digest} = accepted;
  return {version, commitId, digest};
}

function describeGroup(view: GroupView, timer: TimerService) {
  const leadership = view.leadership();
  return {
    group: view.group,
    ...(leadership === undefined ? {} : {leadership}),
    confirmed: view.confirmed(),
    members: view.members().map(each => ({
      id: each.member.id,
      ...(each.role === undefined ? {} : {role: each.role}),
      reachable: each.reachable,
      leaving: each.leaving,
      end: each.end,
      ...(each.freshAt === undefined
        ? {}
        : {age: Math.max(0, timer.now() - each.freshAt)}),
    })),
  };
}

/**
 * Creates the handlers of `manifest.commit`, `manifest.show`, `status` and
 * `audit.list`. Every commit is recorded in the audit trail, also if it fails.
 */
export function createOperatorHandlers(
  options: OperatorHandlersOptions,
): HandlerTable {
  const {runtime, manifests, audit} = options;

  function recordCommit(parameters: CommitParameters, outcome: string): void {
    const {committedBy, expectedVersion, commitId} = parameters;
    audit.record({
      who: committedBy,
      what: 'manifest',
      from: `version ${expectedVersion}`,
      to: `version ${expectedVersion + 1}, commit ${commitId}`,
      outcome,
    });
  }

  function* commit(
    parameters: CommitParameters,
  ): Task<Reply<ReturnType<typeof manifestReference>>> {
    const {platform} = options;
    const result = yield* commitManifest({runtime, platform, ...parameters});
    if (result.err) {
      const {failure} = result.val;
      const {name, outcome} = failure;
      recordCommit(parameters, `${name}, ${outcome}`);
      return result.mapErr((): Failure => failure);
    }
    manifests.offer(result.val);
    recordCommit(parameters, 'accepted');
    return Ok(manifestReference(result.val));
  }

  function status(): ProxyStatus {
    const unready = options.unreadyReason();
    return {
      proxy: options.self,
      ...(unready === undefined ? {} : {unready}),
      manifest: manifestReference(manifests.current()),
      proxies: [...options.liveProxies()],
      groups: options.groups
        .views()
        .map(view => describeGroup(view, runtime.timer)),
      requestsInFlight: options.requests.inFlight(),
      openTransactions: options.requests.openTransactions(),
      audit: {pending: audit.pending(), dropped: audit.dropped()},
    };
  }

  function show(): Future<Reply<{version: number; body?: string}>> {
    const accepted = manifests.current();
    const body = accepted === undefined ? {} : {body: accepted.body};
    return settledFuture(Ok({...manifestReference(accepted), ...body}));
  }

  return createHandlerTable()
    .handle(
      manifestCommit,
      parameters => runtime.spawn('commit manifest', commit(parameters)).result,
    )
    .handle(manifestShow, show)
    .handle(proxyStatus, () => settledFuture(Ok(status())))
    .handle(auditList, ({after, limit}) => audit.list(after, limit));
}
