import {CALLER_METHODS} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {auditList, proxyStatus} from '..';
import {ACCEPT_TIME_MS, GROUP, startVirtualProxies} from './virtual_proxies';

const {read, write, begin} = CALLER_METHODS;
const STATEMENT = {text: 'set ? ?', parameters: ['page', 'text']};

function startProxiesWithManifest() {
  const system = startVirtualProxies();
  const {a, b, commit, waitUntil, call} = system;
  commit(0).unwrap();
  waitUntil(() => b.manifestVersion() === 1);
  const request = {group: GROUP, statement: STATEMENT, token: ''};
  waitUntil(() => call(a.callerHandlers, write, request).ok);
  return system;
}

describe('a proxy', () => {
  test('is ready once a manifest is in force, even if it comes from a peer', () => {
    const {a, b, commit, waitUntil} = startVirtualProxies();
    waitUntil(() => a.unreadyReason() === 'no manifest');
    commit(0).unwrap();
    expect(a.unreadyReason()).toEqual(undefined);
    expect(waitUntil(() => b.unreadyReason() === undefined)).toEqual(true);
  });

  test('reports groups with their members and primary', () => {
    const {b, call, waitUntil} = startProxiesWithManifest();
    const describeGroup = () =>
      call(b.operatorHandlers, proxyStatus, {}).unwrap().groups[0];
    waitUntil(() => describeGroup()?.leadership !== undefined);
    const group = describeGroup();
    expect(group?.group).toEqual(GROUP);
    expect(group?.members.map(member => member.id)).toEqual([
      'rules-1',
      'rules-2',
      'rules-3',
    ]);
  });

  test('counts reads by role and requests by kind', () => {
    const {a, call} = startProxiesWithManifest();
    const statement = {text: 'get ?', parameters: ['page']};
    for (const kind of ['page-view', undefined]) {
      const request = {group: GROUP, statement, token: '', ...(kind && {kind})};
      call(a.callerHandlers, read, request).unwrap();
    }
    const text = a.renderMetrics();
    const count = 'kelpstep_request_duration_seconds_count';
    const labels = 'method="read",outcome="ok"';
    expect(text).toInclude(`${count}{kind="page-view",${labels}} 1`);
    expect(text).toInclude(`${count}{kind="other",${labels}} 1`);
    expect(text).toMatchRegex(/kelpstep_reads_served_total\{role="\w+"\} [12]/);
  });

  test('records commits and changes of primary in the audit trail', () => {
    const {a, call, commit, network, targetHost, timer, waitUntil} =
      startProxiesWithManifest();
    const status = () => call(a.operatorHandlers, proxyStatus, {}).unwrap();
    const leader = () => status().groups[0]?.leadership?.primary;
    commit(0);
    const lost = leader();
    network.killHost(targetHost(Number(lost?.at(-1)) - 1));
    waitUntil(() => leader() !== undefined && leader() !== lost);
    timer.advance(2000);
    const page = call(a.operatorHandlers, auditList, {after: '', limit: 100});
    const trail = page
      .unwrap()
      .entries.map(({what, from, outcome}) => `${what}, ${from}: ${outcome}`);
    expect(trail).toInclude('manifest, version 0: accepted');
    expect(trail.join()).toMatchRegex(/primary of rules, none: confirmed/);
    expect(trail.join()).toInclude(`primary of rules, ${lost}: confirmed`);
  });

  test('stops gracefully: first accepts requests, then refuses them, then ends', () => {
    const {a, b, call, settle, timer, waitUntil} = startProxiesWithManifest();
    const request = {group: GROUP, statement: STATEMENT, token: ''};
    const begun = call(a.callerHandlers, begin, {group: GROUP}).unwrap();
    const startedAt = timer.now();
    const stopped = a.stop();
    const accepted = call(a.callerHandlers, write, request);
    timer.advance(startedAt + ACCEPT_TIME_MS + 1 - timer.now());
    const refused = call(a.callerHandlers, write, request);
    const isOpen = !stopped.isSettled();
    const within = call(a.callerHandlers, write, {
      ...request,
      transaction: begun.transaction,
    });
    settle(stopped);
    expect(a.unreadyReason()).toEqual('stopping');
    expect(accepted.ok).toEqual(true);
    expect(refused.err && refused.val.name).toEqual('STOPPING');
    expect(refused.err && refused.val.outcome).toEqual('not_run');
    expect(isOpen).toEqual(true);
    expect(within.ok).toEqual(true);
    a.close();
    expect(waitUntil(() => call(b.callerHandlers, write, request).ok)).toEqual(
      true,
    );
  });

  test('keeps serving and keeps its audit entries during a platform outage', () => {
    const {a, call, commit, platform, timer} = startProxiesWithManifest();
    timer.advance(2000);
    platform.configure({outage: 'unavailable'});
    commit(0);
    const request = {group: GROUP, statement: STATEMENT, token: ''};
    const written = call(a.callerHandlers, write, request);
    const {audit} = call(a.operatorHandlers, proxyStatus, {}).unwrap();
    platform.configure({outage: 'none'});
    timer.advance(20_000);
    const after = call(a.operatorHandlers, proxyStatus, {}).unwrap().audit;
    expect(written.ok).toEqual(true);
    expect(audit.pending > 0).toEqual(true);
    expect(after).toEqual({pending: 0, dropped: 0});
  });
});
